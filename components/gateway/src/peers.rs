//! Messages between gateways and stagers: status reports, suspect requests and refusals.

use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    rc::Rc,
    time::{Duration, Instant},
};

use base::{Digest, ServiceId, Zone};
use bytes::Bytes;
use catalog::{ModelId, WeightsVersion};
use dispatch::{Dispatcher, EngineStatus};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use peering::{
    EngineState, Fleet, FleetWeights, KnownPosition, Member, Message, NamedVersion, PeerRequest,
    StateReport, Subscription,
};
use platform::store::{StoreEra, StorePosition, StoreRevision};
use tokio::time::{sleep, timeout};

use crate::{
    response::{ResponseBody, own_response},
    state::{Gateway, SubsetInputs, now},
};

/// Time after which a gateway that no stager names any more is dropped.
const GATEWAY_EXPIRY: Duration = Duration::from_secs(6);
/// Interval between two messages about refusals and suspect requests. Callers retry later than that.
const NEWS_INTERVAL: Duration = Duration::from_millis(120);
/// Time between two rounds of `news_loop` from which the process counts as paused. The platform may
/// stop a process that has used up its quota for up to 100 ms.
pub(crate) const MAX_NEWS_GAP: Duration = NEWS_INTERVAL.saturating_mul(3);
/// Maximum number of refusals per message.
const MAX_REFUSALS_PER_MESSAGE: usize = 80;
/// Maximum number of suspicions per message.
const MAX_SUSPICIONS_PER_MESSAGE: usize = 24;
/// Interval at which a few other gateways are reminded of refused parts of prompts.
const REMINDER_INTERVAL: Duration = Duration::from_secs(1);
/// Number of gateways that are reminded, or told of a position, at a time.
const REMINDED_GATEWAYS: usize = 4;
/// Minimum interval between two rounds of requests for reports.
const MIN_SUBSCRIBE_INTERVAL: Duration = Duration::from_millis(50);

impl Gateway {
    /// Periodically asks stagers for reports, and immediately when something changed.
    pub(crate) async fn subscribe_loop(self: Rc<Gateway>) {
        loop {
            self.subscribe_all();
            self.expire_old();
            // All stagers are asked again, whether the wait was notified or timed out.
            let _ = timeout(self.subscribe_wait(), self.subscribe_notify.notified()).await;
            sleep(MIN_SUBSCRIBE_INTERVAL).await;
        }
    }

    /// Time until stagers are asked again. They are told at once when a version may be presumed.
    fn subscribe_wait(&self) -> Duration {
        let interval = self.settings.subscribe_interval;
        let until_due =
            self.presumed_weights.borrow().due().map(|due| due.checked_duration_since(now()));
        until_due.flatten().map_or(interval, |time| time.min(interval))
    }

    fn subscribe_all(&self) {
        self.update_subset();
        let now = now();
        let zone = self.process.borrow().zone.clone();
        let dispatcher = self.dispatcher.borrow();
        let displaced: Vec<ServiceId> = dispatcher.displaced_services().collect();
        for endpoint in dispatcher.followed_endpoints() {
            let (IpAddr::V4(ip), true) = (endpoint.addr.ip(), endpoint.serves_model) else {
                continue;
            };
            let subscription = Subscription {
                near: endpoint.zone == zone,
                named: self.newest_weights(&endpoint.service, now),
                fleet: self.fleet_digest(&dispatcher, &endpoint.service, &endpoint.zone),
            };
            let is_displaced = !subscription.near && displaced.contains(&endpoint.service);
            let message = match is_displaced {
                true => Message::SubscribeDisplaced(subscription),
                false => Message::Subscribe(subscription),
            };
            self.socket.send(ip, &message);
        }
    }

    /// Chooses again which engines to follow, if the fleet or the number of gateways has changed.
    fn update_subset(&self) {
        let gateways = self.zone_gateways.borrow().len() + 1;
        let inputs = SubsetInputs { fleet_revision: self.fleet_revision.get(), gateways };
        if self.subset_inputs.replace(Some(inputs)) != Some(inputs) {
            let own_vm = self.process.borrow().vm.clone();
            self.dispatcher.borrow_mut().update_subset(own_vm.as_str(), gateways);
        }
    }

    /// The digest of the fleet that the stagers of a zone get, computed once for each change.
    fn fleet_digest(&self, dispatcher: &Dispatcher, service: &ServiceId, zone: &Zone) -> u64 {
        let key = (service.clone(), zone.clone());
        if let Some((revision, digest)) = self.fleet_digests.borrow().get(&key)
            && *revision == self.fleet_revision.get()
        {
            return *digest;
        }
        let fleet = self.fleet_of(dispatcher, service);
        let digest = fleet.map(|fleet| fleet.for_zone(zone.as_str()).digest());
        let digest = match digest.transpose() {
            Ok(digest) => digest.unwrap_or_default(),
            Err(err) => {
                slog::warn!(self.log, "fleet cannot be encoded"; "error" => %err);
                0
            }
        };
        self.fleet_digests.borrow_mut().insert(key, (self.fleet_revision.get(), digest));
        digest
    }

    pub(crate) fn model_of(&self, service: &ServiceId) -> Option<ModelId> {
        let config = self.config.borrow();
        let engine = config.as_ref()?.services.get(service)?.engine.as_ref()?;
        engine.weights.as_ref().map(|weights| weights.model.clone())
    }

    fn newest_weights(&self, service: &ServiceId, now: Instant) -> Option<NamedVersion> {
        let model = self.model_of(service)?;
        let named = self.named_weights.borrow().newest(&model, now);
        named.or_else(|| self.presume_weights(&model, now))
    }

    /// Presumes the newest version of weights of which the operator has named none.
    fn presume_weights(&self, model: &ModelId, now: Instant) -> Option<NamedVersion> {
        let mut presumed = self.presumed_weights.borrow_mut();
        let version = presumed.version(model, now)?;
        if presumed.record_presumed(model, version) {
            slog::info!(self.log, "weights presumed, as no version is named";
                "model" => %model, "version" => version.0);
        }
        // Nobody knows since when the version is the newest one; it counts as long known.
        let age = self.process.borrow().bounds.version_switch;
        Some(NamedVersion { version: version.0, age_ms: age.as_millis() as u32 })
    }

    fn expire_old(&self) {
        let now = now();
        let gateways = {
            let mut gateways = self.other_gateways.borrow_mut();
            gateways.retain(|_, seen| now.saturating_duration_since(*seen) < GATEWAY_EXPIRY);
            self.gateway_count.get().unwrap_or(1).max(gateways.len() as u32 + 1)
        };
        let others: Vec<Ipv4Addr> = self.other_gateways.borrow().keys().copied().collect();
        let others = self.knows_gateways(now).then_some(&others[..]);
        let mut dispatcher = self.dispatcher.borrow_mut();
        dispatcher.retry_budget.set_gateways(gateways);
        dispatcher.set_gateways(others, gateways as usize);
        drop(dispatcher);
        self.suspects.borrow_mut().expire(now);
        self.suspect_parts.borrow_mut().expire(now);
        self.refusals.borrow_mut().expire(now);
        self.zone_gateways
            .borrow_mut()
            .retain(|_, seen| now.saturating_duration_since(*seen) < GATEWAY_EXPIRY);
        self.pool.close_expired();
    }

    /// Whether stagers have told of the other gateways. One that has just started does not know those yet
    /// that will ask it for reports within an interval.
    fn knows_gateways(&self, now: Instant) -> bool {
        let settle = self.settings.subscribe_interval * 2;
        let told_at = self.gateways_told_at.get();
        told_at.is_some_and(|at| now.saturating_duration_since(at) >= settle)
    }

    /// Receives and handles messages of peers.
    pub(crate) async fn receive_loop(self: Rc<Gateway>) {
        loop {
            match self.socket.receive().await {
                Ok((from, message)) => self.handle_message(from, message),
                Err(err) => {
                    slog::warn!(self.log, "cannot receive datagrams"; "error" => %err);
                    sleep(self.settings.receive_retry_delay).await;
                }
            }
        }
    }

    fn handle_message(&self, from: Ipv4Addr, message: Message) {
        match message {
            Message::State(report) => self.handle_state_report(from, report),
            Message::Suspicions(suspicions) => {
                for suspicion in suspicions {
                    if self.suspects.borrow_mut().record_remote(&suspicion, now()) {
                        self.log_refused_suspect(&Digest(suspicion.fingerprint));
                    }
                }
            }
            Message::Refused(refused) => {
                let now = now();
                let mut refusals = self.refusals.borrow_mut();
                refused.iter().for_each(|refused| refusals.record_remote(refused, now));
            }
            Message::Parts(news) => {
                let refused = self.suspect_parts.borrow_mut().record_news(&news, now());
                self.handle_refused_parts(refused);
            }
            Message::Limits(limits) => self.handle_limits(from, &limits),
            Message::Known(known) => self.handle_known_position(from, known),
            // Only stagers handle these.
            Message::Subscribe(_)
            | Message::SubscribeDisplaced(_)
            | Message::Holding(_)
            | Message::Relisted(_) => {}
        }
    }

    fn handle_state_report(&self, from: Ipv4Addr, report: StateReport) {
        let now = now();
        let own_ip = self.process.borrow().ip;
        self.gateway_count.set(Some(report.entry_count.into()));
        self.gateways_told_at.set(self.gateways_told_at.get().or(Some(now)));
        {
            let mut gateways = self.other_gateways.borrow_mut();
            gateways.extend(report.entries.iter().filter(|ip| **ip != own_ip).map(|ip| (*ip, now)));
        }
        {
            let mut near = self.zone_gateways.borrow_mut();
            if report.near_entries.contains(&own_ip) {
                let others = report.near_entries.iter().filter(|ip| **ip != own_ip);
                near.extend(others.map(|ip| (*ip, now)));
            }
        }
        let status = EngineStatus {
            serving: report.state == EngineState::Serving,
            version: report.version.map(WeightsVersion),
            waiting: report.waiting.into(),
            running: report.running.into(),
            cache_share: report.cache_share(),
            slowdown: f64::from(report.pace) / 100.0,
            is_preferred: report.home,
            agent_run: report.run,
            sequence: report.number,
        };
        let keys: Vec<_> = {
            let dispatcher = self.dispatcher.borrow();
            let model = |key: &_| dispatcher.is_model_engine(*key);
            dispatcher.endpoints_on_vm(from).filter(model).collect()
        };
        for key in keys {
            let service = {
                let mut dispatcher = self.dispatcher.borrow_mut();
                dispatcher.apply_report(key, status.clone(), now);
                dispatcher.service_of(key).cloned()
            };
            self.record_reported_weights(service.as_ref(), &report);
            self.handle_named_age(service.as_ref(), report.named, now);
        }
        self.poll_soon();
    }

    fn record_reported_weights(&self, service: Option<&ServiceId>, report: &StateReport) {
        let Some(model) = service.and_then(|service| self.model_of(service)) else { return };
        let newest = report.version.max(report.named.map(|named| named.version));
        if let Some(version) = newest {
            let mut presumed = self.presumed_weights.borrow_mut();
            presumed.record_report(&model, WeightsVersion(version));
        }
    }

    fn handle_named_age(
        &self,
        service: Option<&ServiceId>,
        named: Option<NamedVersion>,
        now: Instant,
    ) {
        let model = service.and_then(|service| self.model_of(service));
        if let (Some(model), Some(named)) = (model, named)
            && self.named_weights.borrow_mut().record_named_age(&model, named, now)
        {
            self.require_weights();
        }
    }

    /// Periodically reports refusals to the other gateways of the zone, and suspect requests and parts of
    /// prompts to all other gateways. Observes whether the process was paused.
    pub(crate) async fn news_loop(self: Rc<Gateway>) {
        let mut reminded_at = now();
        loop {
            sleep(NEWS_INTERVAL).await;
            self.observe_pauses();
            let refusals = self.refusals.borrow_mut().take_pending(MAX_REFUSALS_PER_MESSAGE, now());
            if !refusals.is_empty() {
                self.send_to(&self.zone_gateways.borrow(), &Message::Refused(refusals));
            }
            let suspicions =
                self.suspects.borrow_mut().take_pending(MAX_SUSPICIONS_PER_MESSAGE, now());
            if !suspicions.is_empty() {
                self.send_to(&self.other_gateways.borrow(), &Message::Suspicions(suspicions));
            }
            let news = self.suspect_parts.borrow_mut().take_news(now());
            if let Some(news) = news {
                self.send_to(&self.other_gateways.borrow(), &Message::Parts(news));
            }
            self.announce_position();
            self.tell_limits();
            if now() - reminded_at >= REMINDER_INTERVAL {
                reminded_at = now();
                self.remind_of_refused_parts();
            }
        }
    }

    /// Tells a few other gateways which parts are refused, as they may have started since or missed it.
    fn remind_of_refused_parts(&self) {
        let Some(refusals) = self.suspect_parts.borrow().refusals(now()) else { return };
        self.send_to_some(&Message::Parts(refusals));
    }

    /// Tells a few other gateways how far this one knows the store, if that has changed lately.
    fn announce_position(&self) {
        let announced = self.position_news.borrow_mut().take_announcement(now());
        let Some(StorePosition { era, revision }) = announced else { return };
        self.send_to_some(&Message::Known(KnownPosition { era: era.0, revision: revision.0 }));
    }

    fn handle_known_position(&self, from: Ipv4Addr, known: KnownPosition) {
        let position =
            StorePosition { era: StoreEra(known.era), revision: StoreRevision(known.revision) };
        self.position_news.borrow_mut().record_remote(from, position, now());
        self.newer_position.notify_one();
    }

    /// Sends a message to a few other gateways, chosen at random.
    pub(crate) fn send_to_some(&self, message: &Message) {
        let gateways: Vec<Ipv4Addr> = self.other_gateways.borrow().keys().copied().collect();
        for ip in fastrand::choose_multiple(gateways, REMINDED_GATEWAYS) {
            self.socket.send(ip, message);
        }
    }

    fn send_to(&self, gateways: &HashMap<Ipv4Addr, Instant>, message: &Message) {
        for ip in gateways.keys() {
            self.socket.send(*ip, message);
        }
    }

    /// Responds to an HTTP request of a peer.
    pub(crate) async fn handle_peer_call(
        self: Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let path = request.uri().path_and_query().map_or("", |path| path.as_str());
        match PeerRequest::parse(path) {
            Some(PeerRequest::Fleet(service, zone)) => self.fleet_response(&service, zone.as_ref()),
            Some(PeerRequest::Changes { era, revision, compressed }) => {
                let (era, revision) = (StoreEra(era), StoreRevision(revision));
                self.serve_changes(StorePosition { era, revision }, compressed).await
            }
            Some(PeerRequest::Explain) => self.respond_explain(request).await,
            _ => own_response(StatusCode::NOT_FOUND, None, None),
        }
    }

    fn fleet_response(&self, service: &ServiceId, zone: Option<&Zone>) -> Response<ResponseBody> {
        let fleet = self.fleet_of(&self.dispatcher.borrow(), service);
        let fleet = match zone {
            Some(zone) => fleet.map(|fleet| fleet.for_zone(zone.as_str())),
            None => fleet,
        };
        match fleet.map(|fleet| fleet.encode()) {
            Some(Ok(bytes)) => Response::new(ResponseBody::Full(Some(Bytes::from(bytes)))),
            Some(Err(err)) => {
                slog::warn!(self.log, "fleet cannot be encoded"; "error" => %err);
                own_response(StatusCode::INTERNAL_SERVER_ERROR, None, None)
            }
            None => own_response(StatusCode::NOT_FOUND, None, None),
        }
    }

    fn fleet_of(&self, dispatcher: &Dispatcher, service: &ServiceId) -> Option<Fleet> {
        let config = self.config.borrow().clone()?;
        let mine =
            dispatcher.listed_endpoints().filter(|(_, endpoint)| endpoint.service == *service);
        let members = mine.filter_map(|(_, endpoint)| match endpoint.addr.ip() {
            IpAddr::V4(ip) => Some(Member { ip, zone: endpoint.zone.to_string() }),
            IpAddr::V6(_) => None,
        });
        config.services.get(service)?;
        let weights = FleetWeights::from_config(&config, service);
        let named = self.newest_weights(service, now());
        let resumable = config.is_resumable(service);
        Some(Fleet { members: members.collect(), weights, named, resumable })
    }
}
