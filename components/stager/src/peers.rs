//! What the process and its peers tell each other.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use base::{ByteSize, Digest};
use bytes::Bytes;
use catalog::WeightsVersion;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use peering::{Inventory, Message, PeerRequest, Subscription};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use transport::Gone;

use crate::{
    Neighbour,
    shared::{Stager, Subscriber, now},
};

/// The body of an answer to a peer.
pub(crate) type PeerBody = BoxBody<Bytes, Gone>;

pub(crate) fn answer(status: StatusCode, body: Bytes) -> Response<PeerBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

impl Stager {
    /// Takes in what peers tell.
    pub(crate) async fn receive_loop(self: Rc<Stager>) {
        loop {
            match self.socket.receive().await {
                Ok((from, Message::Subscribe(subscription))) => {
                    self.subscribed(from, &subscription)
                }
                Ok((from, Message::Holding(holding))) => self.holds(from, holding),
                // These are for entries.
                Ok((_, Message::State(_) | Message::Suspicions(_) | Message::Refused(_))) => {}
                Err(err) => {
                    warn!(self.log, "datagrams cannot be received"; "error" => %err);
                    sleep(self.settings.retry).await;
                }
            }
        }
    }

    fn subscribed(&self, from: Ipv4Addr, subscription: &Subscription) {
        let mut subscribers = self.subscribers.borrow_mut();
        let known = subscribers.get(&from);
        if known.is_none() {
            info!(self.log, "entry regained"; "entry" => %from, "near" => subscription.near);
            self.tell.notify_one();
        }
        let reported = known.and_then(|s| s.reported);
        let subscriber = Subscriber { near: subscription.near, asked: now(), reported };
        subscribers.insert(from, subscriber);
        // One of the same zone is asked for the fleet, if there is one.
        let some_near = subscribers.values().any(|s| s.near);
        drop(subscribers);
        let news = self.fleet_seen.get().is_none_or(|(_, seen)| seen != subscription.fleet);
        if news && (subscription.near || !some_near) {
            self.fleet_seen.set(Some((from, subscription.fleet)));
            self.refresh.notify_one();
        }
        if let Some(named) = subscription.named {
            self.heard_named(named);
        }
    }

    fn holds(&self, from: Ipv4Addr, holding: Inventory) {
        if let Some(named) = holding.named {
            self.heard_named(named);
        }
        if let Some(wanted) = self.wanted.borrow_mut().as_mut() {
            wanted.spread.lives(from, now());
            if wanted.version.0 == holding.version {
                let neighbour = Neighbour { pieces: holding.pieces.clone(), at: now() };
                wanted.spread.heard(from, neighbour);
            }
        }
        let known = self.neighbours.borrow_mut().insert(from, (holding, now())).is_some();
        if !known && let Some(holding) = self.own_holding() {
            // One that is new need not wait for what is held here.
            self.socket.send(from, &Message::Holding(holding));
        }
        self.fetch.notify_one();
    }

    /// Tells neighbours what is held again and again, and soon after it changed.
    pub(crate) async fn holding_loop(self: Rc<Stager>) {
        loop {
            // Woken early or not, all neighbours are told again.
            let _ = timeout(self.settings.idle_holding_every, self.holding.notified()).await;
            if let Some(holding) = self.own_holding() {
                for ip in self.told_neighbours() {
                    self.socket.send(ip, &Message::Holding(holding.clone()));
                }
            }
            sleep(self.settings.holding_every).await;
        }
    }

    fn own_holding(&self) -> Option<Inventory> {
        let wanted = self.wanted.borrow();
        let wanted = wanted.as_ref()?;
        Some(Inventory {
            version: wanted.version.0,
            pieces: wanted.spread.held().clone(),
            digests: wanted.digests.is_some(),
            serving: self.serving().map(|v| v.0),
            staged: wanted.is_staged(),
            loading: self.loading.get(),
            named: self.named_now(),
        })
    }

    /// Answers a call of a peer.
    pub(crate) async fn peer_call(self: Rc<Stager>, call: Request<Incoming>) -> Response<PeerBody> {
        let found = match PeerRequest::parse(call.uri().path()) {
            Some(PeerRequest::Digests(version)) => self.give_digests(WeightsVersion(version)).await,
            Some(PeerRequest::Piece(version, piece)) => {
                self.give_piece(WeightsVersion(version), piece).await
            }
            _ => None,
        };
        if let Some(body) = &found {
            self.pace(body.len()).await;
        }
        match found {
            Some(body) => answer(StatusCode::OK, body),
            None => answer(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Waits until so many bytes may pass the link.
    async fn pace(&self, bytes: usize) {
        let wait = self.link.borrow_mut().reserve(ByteSize(bytes as u64), now());
        sleep(wait).await;
    }

    async fn give_digests(&self, version: WeightsVersion) -> Option<Bytes> {
        self.held_until(version, |stager| stager.digest_bytes(version)).await
    }

    fn digest_bytes(&self, version: WeightsVersion) -> Option<Bytes> {
        let wanted = self.wanted.borrow();
        let wanted = wanted.as_ref().filter(|wanted| wanted.version == version)?;
        let digests = wanted.digests.as_ref()?;
        Some(digests.iter().flat_map(|Digest(bytes)| *bytes).collect())
    }

    async fn give_piece(&self, version: WeightsVersion, piece: u32) -> Option<Bytes> {
        self.held_until(version, |stager| stager.held_piece(version, piece)).await
    }

    /// Waits for something that is on its way here.
    async fn held_until(
        &self,
        version: WeightsVersion,
        find: impl Fn(&Stager) -> Option<Bytes>,
    ) -> Option<Bytes> {
        let until = Instant::now() + self.settings.hold;
        loop {
            let arrived = self.arrived.notified();
            if let Some(found) = find(self) {
                return Some(found);
            }
            if self.wanted_version() != Some(version) {
                return None;
            }
            timeout_at(until, arrived).await.ok()?;
        }
    }

    /// Longest time that a call of a peer may take.
    pub(crate) fn peer_idle(&self) -> Duration {
        self.settings.hold + Duration::from_secs(30)
    }
}
