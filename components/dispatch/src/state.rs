//! The dispatcher: endpoints, requests that wait, and the choice.

use std::{
    cell::RefCell,
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use base::{Region, ServiceId, Zone};
use catalog::{Endpoint, EndpointId, EngineProfile, WeightsVersion};
use fastrand::Rng;
use slotmap::SlotMap;

use crate::{
    Decision, DispatchSettings, EndpointKey, EngineModel, EngineStatus, InFlightKey,
    PendingRequest, PredictionBias, RequestKey, RetryBudget, endpoint::TrackedEndpoint,
    health::EndpointOutcome, jobs::VersionRequirement,
};

/// A change of the endpoints that a process acts on.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointChange {
    /// An endpoint is new, or started again.
    Added(EndpointKey),
    /// An endpoint published something else.
    Updated(EndpointKey),
    /// An endpoint leaves and gets nothing new.
    Leaving(EndpointKey),
    /// An endpoint is gone.
    Removed(EndpointKey, EndpointId),
}

/// What a process needs of an endpoint to send a request there.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// Its name.
    pub id: EndpointId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: Zone,
    /// The weights that it serves, stated where older ones may no longer answer.
    pub version: Option<WeightsVersion>,
}

/// Decides where requests go.
#[derive(Debug)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) zone: Zone,
    pub(crate) regions: HashMap<Zone, Region>,
    pub(crate) endpoints: SlotMap<EndpointKey, TrackedEndpoint>,
    pub(crate) keys_by_id: HashMap<EndpointId, EndpointKey>,
    /// Endpoints that were missing when the store returned, and when they count as gone.
    pub(crate) lapsed: HashMap<EndpointId, Instant>,
    pub(crate) engine_models: HashMap<ServiceId, EngineModel>,
    pub(crate) biases: HashMap<ServiceId, PredictionBias>,
    pub(crate) version_requirements: HashMap<ServiceId, Vec<VersionRequirement>>,
    pending: SlotMap<RequestKey, PendingRequest>,
    /// Requests that wait, in order of arrival.
    pub(crate) waiting: Vec<RequestKey>,
    pub(crate) rng: RefCell<Rng>,
    /// The budget of repeats.
    pub retry_budget: RetryBudget,
}

impl Dispatcher {
    /// A dispatcher of a process in `zone` that knows no endpoint.
    pub fn new(
        settings: DispatchSettings,
        zone: Zone,
        zones: impl IntoIterator<Item = (Zone, Region)>,
    ) -> Dispatcher {
        Dispatcher {
            zone,
            regions: zones.into_iter().collect(),
            endpoints: SlotMap::with_key(),
            keys_by_id: HashMap::new(),
            lapsed: HashMap::new(),
            engine_models: HashMap::new(),
            biases: HashMap::new(),
            version_requirements: HashMap::new(),
            pending: SlotMap::with_key(),
            waiting: Vec::new(),
            rng: RefCell::new(Rng::new()),
            retry_budget: RetryBudget::new(settings.retries),
            settings,
        }
    }

    /// Takes in the figures of a service's engines.
    pub fn set_engine_figures(&mut self, service: &ServiceId, figures: Option<&EngineProfile>) {
        match figures {
            Some(figures) => {
                self.engine_models.insert(service.clone(), EngineModel::new(figures));
            }
            None => {
                self.engine_models.remove(service);
            }
        }
    }

    /// Sets which weights may answer the service's requests, and from when on.
    pub fn set_version_requirements(
        &mut self,
        service: &ServiceId,
        required: Vec<VersionRequirement>,
    ) {
        self.version_requirements.insert(service.clone(), required);
    }

    /// An endpoint by its key.
    pub fn endpoint(&self, key: EndpointKey, now: Instant) -> Option<EndpointView> {
        let known = self.endpoints.get(key)?;
        let listed = &known.listed;
        let required = self.required_version(&listed.service, now);
        let serves = known.version(self.settings.max_report_age, now);
        Some(EndpointView {
            id: listed.id.clone(),
            addr: listed.addr,
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            version: required.map(|required| serves.map_or(required, |v| v.max(required))),
        })
    }

    pub(crate) fn required_version(
        &self,
        service: &ServiceId,
        now: Instant,
    ) -> Option<WeightsVersion> {
        let required =
            self.version_requirements.get(service)?.iter().filter(|r| now >= r.effective_at);
        required.map(|r| r.version).max()
    }

    /// All endpoints as they are listed.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().map(|(key, known)| (key, &known.listed))
    }

    /// The endpoint of a service on a VM.
    pub fn endpoints_on_vm(&self, ip: Ipv4Addr) -> impl Iterator<Item = EndpointKey> {
        let there = move |known: &TrackedEndpoint| known.ip() == Some(ip);
        self.endpoints.iter().filter(move |(_, known)| there(known)).map(|(key, _)| key)
    }

    /// Whether an endpoint is a model engine.
    pub fn is_model_engine(&self, key: EndpointKey) -> bool {
        let known = self.endpoints.get(key);
        known.is_some_and(|known| self.engine_models.contains_key(&known.listed.service))
    }

    /// Whether an endpoint's agent says that it takes no requests, as it loads weights.
    pub fn is_loading(&self, key: EndpointKey, now: Instant) -> bool {
        let known = self.endpoints.get(key);
        let news = known.and_then(|known| known.fresh_report(self.settings.max_report_age, now));
        news.is_some_and(|news| !news.serving)
    }

    /// An agent reported on an endpoint.
    pub fn apply_report(&mut self, key: EndpointKey, news: EngineStatus, now: Instant) {
        if let Some(known) = self.endpoints.get_mut(key) {
            known.apply_report(news, now);
        }
    }

    /// An answer showed the weights that an endpoint serves.
    pub fn record_version(&mut self, key: EndpointKey, version: WeightsVersion) {
        if let Some(known) = self.endpoints.get_mut(key) {
            known.observed_version = known.observed_version.max(Some(version));
        }
    }

    /// A request is to be sent. Where the decision is to wait, its key names it for `poll`.
    pub fn submit(&mut self, job: PendingRequest, now: Instant) -> (Option<RequestKey>, Decision) {
        match self.decide(&job, now) {
            Decision::Wait => {
                let key = self.pending.insert(job);
                self.waiting.push(key);
                (Some(key), Decision::Wait)
            }
            decision => (None, decision),
        }
    }

    /// Looks again at the requests that wait; returns those that wait no longer.
    pub fn poll(&mut self, now: Instant) -> Vec<(RequestKey, Decision)> {
        let mut order = std::mem::take(&mut self.waiting);
        order.sort_by_key(|key| self.pending.get(*key).map(|job| (job.rank, job.arrived_at)));
        let mut decided = Vec::new();
        for key in order {
            let Some(job) = self.pending.get(key).cloned() else { continue };
            match self.decide(&job, now) {
                Decision::Wait => self.waiting.push(key),
                decision => {
                    self.pending.remove(key);
                    decided.push((key, decision));
                }
            }
        }
        decided
    }

    /// The caller of a request that waits has left.
    pub fn cancel(&mut self, key: RequestKey) {
        self.pending.remove(key);
        self.waiting.retain(|waiting| *waiting != key);
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The first event of a request has come.
    pub fn record_first_event(&mut self, endpoint: EndpointKey, flight: InFlightKey, now: Instant) {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return };
        let Some(flight) = known.in_flight.get_mut(flight) else { return };
        flight.first_event_received = true;
        let took = now.saturating_duration_since(flight.sent_at).as_secs_f64() * 1e3;
        let bias = self.biases.entry(known.listed.service.clone()).or_default();
        bias.record_error(took - flight.expected_ms);
    }

    /// A request has ended at an endpoint.
    pub fn record_result(
        &mut self,
        endpoint: EndpointKey,
        flight: InFlightKey,
        end: EndpointOutcome,
        now: Instant,
    ) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.in_flight.remove(flight);
            known.health.record_result(end, now);
        }
    }

    /// Requests of this process at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointKey) -> usize {
        self.endpoints.get(endpoint).map_or(0, |known| known.in_flight.len())
    }
}
