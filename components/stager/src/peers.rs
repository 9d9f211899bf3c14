//! What the process and its peers tell each other.

use std::{net::Ipv4Addr, rc::Rc, time::Duration};

use base::{ByteSize, Digest};
use bytes::Bytes;
use catalog::WeightsVersion;
use directory::Reader;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::body::Incoming;
use peering::{
    Call, Fleet, FleetWeights, Holding, Member, Message, Named, PIECE_TIMEOUT, Subscription,
};
use platform::store::{Entry, Part};
use slog::{info, warn};
use tokio::time::{Instant, sleep, timeout, timeout_at};
use transport::{Gone, request};

use crate::{
    Neighbour,
    shared::{Stager, Subscriber, now},
};

/// Most bytes of what an entry knows of the fleet.
const FLEET_BYTES: usize = 4 << 20;

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

    fn holds(&self, from: Ipv4Addr, holding: Holding) {
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

    fn own_holding(&self) -> Option<Holding> {
        let wanted = self.wanted.borrow();
        let wanted = wanted.as_ref()?;
        Some(Holding {
            version: wanted.version.0,
            pieces: wanted.spread.held().clone(),
            digests: wanted.digests.is_some(),
            serving: self.serving().map(|v| v.0),
            staged: wanted.is_staged(),
            loading: self.loading.get(),
            named: self.named_now(),
        })
    }

    /// Keeps what is known of the fleet up to date: from an entry, or from the store if none asks for
    /// reports.
    pub(crate) async fn fleet_loop(self: Rc<Stager>, reader: Reader) {
        tokio::select! {
            () = self.ask_seeds() => {}
            // An entry asked for reports meanwhile, and is asked instead.
            () = self.refresh.notified() => self.refresh.notify_one(),
        }
        loop {
            let woken = timeout(self.settings.store_after, self.refresh.notified()).await.is_ok();
            let entry = self.fleet_seen.get().map(|(entry, _)| entry);
            let read = match entry.filter(|_| woken) {
                Some(entry) => self.fleet_of_entry(entry).await,
                None if self.has_entry() => continue,
                None => self.fleet_of_store(&reader).await,
            };
            match read {
                Some(fleet) => self.learn(fleet),
                None => {
                    self.fleet_seen.set(None);
                    sleep(self.settings.retry).await;
                }
            }
        }
    }

    /// Asks the seeds for the fleet, so that a new process need not wait for entries to find it.
    async fn ask_seeds(&self) {
        let seeds = self.process.borrow().seeds.clone();
        for seed in seeds {
            let std::net::IpAddr::V4(ip) = seed.ip() else { continue };
            if self.fleet_seen.get().is_some() {
                return;
            }
            if let Some(fleet) = self.fleet_of_entry(ip).await {
                self.learn(fleet);
                return;
            }
        }
    }

    fn has_entry(&self) -> bool {
        let life = self.settings.subscription;
        let subscribers = self.subscribers.borrow();
        subscribers.values().any(|s| now().saturating_duration_since(s.asked) < life)
    }

    fn learn(&self, fleet: Fleet) {
        let named = fleet.named;
        let changed = *self.fleet.borrow() != fleet;
        if changed {
            info!(self.log, "fleet"; "members" => fleet.members.len(),
                "pieces" => fleet.weights.as_ref().map_or(0, |w| w.pieces));
            *self.fleet.borrow_mut() = fleet;
        }
        if let Some(named) = named {
            self.heard_named(named);
        }
        self.update_members();
        self.fetch.notify_one();
        self.holding.notify_one();
    }

    async fn fleet_of_entry(&self, entry: Ipv4Addr) -> Option<Fleet> {
        let addr = self.process.borrow().peer_addr(entry.into());
        let path = Call::Fleet(self.own.service.clone()).path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        let until = Instant::now() + PIECE_TIMEOUT;
        let reply = self.pool.call(addr, request, FLEET_BYTES, until).await;
        let reply = match reply {
            Ok(reply) if reply.status == StatusCode::OK => reply,
            Ok(_) => return None,
            Err(err) => {
                warn!(self.log, "fleet not read"; "entry" => %entry, "error" => %err);
                return None;
            }
        };
        match Fleet::decode(&reply.body) {
            Ok(fleet) => Some(fleet),
            Err(err) => {
                warn!(self.log, "fleet not read"; "entry" => %entry, "error" => %err);
                None
            }
        }
    }

    /// Reads what an entry would tell from the store; old reads are good enough.
    async fn fleet_of_store(&self, reader: &Reader) -> Option<Fleet> {
        let read = async {
            let operator = reader.read(Part::Operator, true).await?;
            let endpoints = reader.read(Part::Endpoints, true).await?;
            Ok::<_, directory::ReadError>((operator, endpoints))
        };
        match read.await {
            Ok((operator, endpoints)) => Some(self.fleet_from(operator.entries, endpoints.entries)),
            Err(err) => {
                warn!(self.log, "store not read"; "error" => %err);
                None
            }
        }
    }

    fn fleet_from(&self, operator: Vec<Entry>, endpoints: Vec<Entry>) -> Fleet {
        let mut fleet = Fleet::default();
        let mut versions = Vec::new();
        for entry in operator {
            match entry {
                Entry::Config(config) => {
                    fleet.weights = FleetWeights::of(&config, &self.own.service);
                    fleet.resumable = config.is_resumable(&self.own.service);
                }
                Entry::Named { model, version } => versions.push((model, version)),
                _ => {}
            }
        }
        let model = fleet.weights.as_ref().map(|weights| weights.model.clone());
        let newest = versions.iter().filter(|(m, _)| Some(m.as_str()) == model.as_deref());
        // Nobody here knows since when; for all that is known, for long.
        let age_ms = self.process.borrow().bounds.version.as_millis() as u32;
        fleet.named = newest.map(|(_, v)| v.0).max().map(|version| Named { version, age_ms });
        for entry in endpoints {
            if let Entry::Listing(catalog::Listing::Listed(endpoint)) = entry
                && endpoint.service == self.own.service
                && let std::net::IpAddr::V4(ip) = endpoint.addr.ip()
            {
                fleet.members.push(Member { ip, zone: endpoint.zone.to_string() });
            }
        }
        fleet
    }

    /// Answers a call of a peer.
    pub(crate) async fn peer_call(self: Rc<Stager>, call: Request<Incoming>) -> Response<PeerBody> {
        let found = match Call::parse(call.uri().path()) {
            Some(Call::Digests(version)) => self.give_digests(WeightsVersion(version)).await,
            Some(Call::Piece(version, piece)) => {
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
