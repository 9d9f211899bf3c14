//! Messages and requests exchanged with gateways and other stagers.

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
use transport::ResponseAborted;

use crate::{
    Neighbour,
    shared::{Stager, Subscriber, now},
};

/// The body of a response to a peer.
pub(crate) type PeerBody = BoxBody<Bytes, ResponseAborted>;

pub(crate) fn response(status: StatusCode, body: Bytes) -> Response<PeerBody> {
    let body = Full::new(body).map_err(|never| match never {}).boxed();
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response
}

impl Stager {
    /// Receives and handles datagrams.
    pub(crate) async fn receive_loop(self: Rc<Stager>) {
        loop {
            match self.socket.receive().await {
                Ok((from, Message::Subscribe(subscription))) => {
                    self.handle_subscription(from, &subscription, false)
                }
                Ok((from, Message::SubscribeDisplaced(subscription))) => {
                    self.handle_subscription(from, &subscription, true)
                }
                Ok((from, Message::Holding(inventory))) => self.handle_inventory(from, inventory),
                Ok((from, Message::Relisted(relisted))) => self.handle_relisted(from, relisted),
                // These are meant for gateways.
                Ok((
                    _,
                    Message::State(_)
                    | Message::Suspicions(_)
                    | Message::Refused(_)
                    | Message::Parts(_)
                    | Message::Known(_)
                    | Message::Limits(_),
                )) => {}
                Err(err) => {
                    warn!(self.log, "cannot receive datagrams"; "error" => %err);
                    sleep(self.settings.retry_delay).await;
                }
            }
        }
    }

    fn handle_subscription(&self, from: Ipv4Addr, subscription: &Subscription, displaced: bool) {
        let mut subscribers = self.subscribers.borrow_mut();
        let known = subscribers.get(&from);
        if known.is_none() {
            info!(self.log, "gateway subscribed"; "entry" => %from, "near" => subscription.near);
            self.report_wakeup.notify_one();
        }
        let last_report_at = known.and_then(|s| s.last_report_at);
        let subscriber = Subscriber {
            same_zone: subscription.near,
            displaced: displaced && !subscription.near,
            subscribed_at: now(),
            last_report_at,
        };
        subscribers.insert(from, subscriber);
        // The fleet is fetched from a gateway of the same zone, if there is one.
        let any_in_own_zone = subscribers.values().any(|s| s.same_zone);
        drop(subscribers);
        let is_new = self.fleet.borrow().digest != subscription.fleet;
        if is_new && (subscription.near || !any_in_own_zone) {
            self.announcing_gateway.set(Some(from));
            self.fleet_wakeup.notify_one();
        }
        if let Some(named) = subscription.named {
            self.handle_named_version(named);
        }
    }

    fn handle_inventory(&self, from: Ipv4Addr, inventory: Inventory) {
        if let Some(named) = inventory.named {
            self.handle_named_version(named);
        }
        let version = WeightsVersion(inventory.version);
        if let Some(download) = self.download.borrow_mut().as_mut() {
            download.scheduler.mark_alive(from, now());
            if download.version == version {
                let neighbour = Neighbour { pieces: inventory.pieces.clone(), reported_at: now() };
                download.scheduler.handle_inventory(from, neighbour);
            }
        }
        let has_news = self.is_downloading() || self.download_version() < Some(version);
        let known = self.neighbours.borrow_mut().insert(from, (inventory, now())).is_some();
        if !known && let Some(inventory) = self.own_inventory() {
            // A new neighbour learns at once what this VM holds.
            self.socket.send(from, &Message::Holding(inventory));
        }
        if has_news {
            self.fetch_wakeup.notify_one();
        }
    }

    /// Sends the inventory to neighbours periodically, and soon after each change.
    pub(crate) async fn inventory_loop(self: Rc<Stager>) {
        loop {
            // Whether notified or timed out, the inventory is sent to all neighbours.
            let _ =
                timeout(self.settings.idle_inventory_interval, self.inventory_wakeup.notified())
                    .await;
            let messages = [
                self.own_inventory().map(Message::Holding),
                self.own_relisted().map(Message::Relisted),
            ];
            for message in messages.iter().flatten() {
                for ip in self.inventory_recipients() {
                    self.socket.send(ip, message);
                }
            }
            sleep(self.settings.inventory_interval).await;
        }
    }

    fn own_inventory(&self) -> Option<Inventory> {
        let download = self.download.borrow();
        let download = download.as_ref()?;
        Some(Inventory {
            version: download.version.0,
            pieces: download.scheduler.held().clone(),
            digests: download.digests.is_some(),
            serving: self.serving_version().map(|v| v.0),
            staged: download.is_staged(),
            loading: self.loading.get(),
            named: self.newest_named(),
        })
    }

    /// Handles a request from a peer.
    pub(crate) async fn handle_peer_request(
        self: Rc<Stager>,
        request: Request<Incoming>,
    ) -> Response<PeerBody> {
        let found = match PeerRequest::parse(request.uri().path()) {
            Some(PeerRequest::Digests(version)) => {
                self.serve_digests(WeightsVersion(version)).await
            }
            Some(PeerRequest::Piece(version, piece)) => {
                self.serve_piece(WeightsVersion(version), piece).await
            }
            _ => None,
        };
        if let Some(body) = &found {
            self.limit_upload(body.len()).await;
        }
        match found {
            Some(body) => response(StatusCode::OK, body),
            None => response(StatusCode::NOT_FOUND, Bytes::new()),
        }
    }

    /// Waits until the rate limit of the link permits a transfer of `bytes`.
    async fn limit_upload(&self, bytes: usize) {
        let wait = self.link.borrow_mut().reserve(ByteSize(bytes as u64), now());
        sleep(wait).await;
    }

    async fn serve_digests(&self, version: WeightsVersion) -> Option<Bytes> {
        self.wait_for(version, |stager| stager.encode_digests(version)).await
    }

    fn encode_digests(&self, version: WeightsVersion) -> Option<Bytes> {
        let download = self.download.borrow();
        let download = download.as_ref().filter(|download| download.version == version)?;
        let digests = download.digests.as_ref()?;
        Some(digests.iter().flat_map(|Digest(bytes)| *bytes).collect())
    }

    async fn serve_piece(&self, version: WeightsVersion, piece: u32) -> Option<Bytes> {
        self.wait_for(version, |stager| stager.held_piece(version, piece)).await
    }

    /// Waits for data of `version` that is being downloaded.
    async fn wait_for(
        &self,
        version: WeightsVersion,
        find: impl Fn(&Stager) -> Option<Bytes>,
    ) -> Option<Bytes> {
        let deadline = Instant::now() + self.settings.piece_wait_timeout;
        loop {
            let arrived = self.piece_arrived.notified();
            if let Some(found) = find(self) {
                return Some(found);
            }
            if self.stopping.get() || self.download_version() != Some(version) {
                return None;
            }
            timeout_at(deadline, arrived).await.ok()?;
        }
    }

    /// Maximum time that a request from a peer may take.
    pub(crate) fn peer_idle_timeout(&self) -> Duration {
        self.settings.piece_wait_timeout + Duration::from_secs(30)
    }
}
