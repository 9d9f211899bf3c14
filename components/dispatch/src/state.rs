//! The dispatcher's state: endpoints, waiting requests and the settings of the services.

use std::{
    cell::RefCell,
    collections::{BTreeSet, HashMap},
    net::{Ipv4Addr, SocketAddr},
    time::Instant,
};

use base::{Region, ServiceId, Zone};
use catalog::{ColdStart, Endpoint, EndpointId, EngineProfile, WeightsVersion};
use fastrand::Rng;
use slotmap::SlotMap;

use crate::{
    Decision, DispatchSettings, EndpointKey, EngineModel, EngineStatus, InFlightKey,
    PendingRequest, PredictionBias, Relation, RequestKey, RetryBudget, backoff::UnlistedBackoffs,
    cold::KnownGateways, demand::ServiceDemand, departures::Departures, endpoint::TrackedEndpoint,
    evacuation::Evacuations, health::EndpointOutcome, requests::VersionRequirement,
    zone_exit::ZoneExit,
};

/// A change of the endpoint list that the process has to react to.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointChange {
    /// An endpoint is new or was restarted.
    Added(EndpointKey),
    /// The published data of an endpoint changed.
    Updated(EndpointKey),
    /// An endpoint is draining and gets no new requests.
    Leaving(EndpointKey),
    /// An endpoint is gone.
    Removed(EndpointKey, EndpointId),
    /// An endpoint that left is listed again by an older copy of the store, and stays out until it is
    /// proved alive.
    SetAside(EndpointId),
}

/// What a process needs to know of an endpoint to send it a request.
#[derive(Debug, Clone, PartialEq)]
pub struct EndpointView {
    /// The endpoint's id.
    pub id: EndpointId,
    /// The address that it listens on.
    pub addr: SocketAddr,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it gets no new requests, as it is draining.
    pub is_leaving: bool,
    /// The version of the weights that must answer; set where older weights may no longer answer.
    pub version: Option<WeightsVersion>,
    /// Whether it has older weights than required, on which a request may still begin.
    pub is_outdated: bool,
}

/// Decides which endpoint each request is sent to.
#[derive(Debug, Clone)]
pub struct Dispatcher {
    pub(crate) settings: DispatchSettings,
    pub(crate) zone: Zone,
    pub(crate) regions: HashMap<Zone, Region>,
    pub(crate) endpoints: SlotMap<EndpointKey, TrackedEndpoint>,
    pub(crate) keys_by_id: HashMap<EndpointId, EndpointKey>,
    pub(crate) keys_by_ip: HashMap<Ipv4Addr, Vec<EndpointKey>>,
    /// Endpoints that were missing when the store came back from an outage or an older copy, with the time at which they count as
    /// gone.
    pub(crate) lapsed: HashMap<EndpointId, Instant>,
    /// Times for which endpoints that are not listed now asked to be sent nothing.
    pub(crate) unlisted_backoffs: UnlistedBackoffs,
    /// Endpoints that left a short time ago.
    pub(crate) departures: Departures,
    /// Zones to which nothing may be sent.
    pub(crate) evacuations: Evacuations,
    /// Regions to which the configuration binds requests.
    pub(crate) home_regions: BTreeSet<Region>,
    /// The gateways among which the allowance of cold endpoints is divided; `None` until a process has
    /// named them.
    pub(crate) gateways: Option<KnownGateways>,
    /// What the endpoints of the services bear while they are cold.
    pub(crate) cold_starts: HashMap<ServiceId, ColdStart>,
    /// Endpoints that became cold since they were last taken.
    pub(crate) newly_cold: Vec<EndpointKey>,
    pub(crate) engine_models: HashMap<ServiceId, EngineModel>,
    pub(crate) biases: HashMap<ServiceId, [PredictionBias; Relation::ALL.len()]>,
    pub(crate) demand: HashMap<ServiceId, ServiceDemand>,
    /// The services whose ways to other zones are measured.
    pub(crate) zone_exits: HashMap<ServiceId, ZoneExit>,
    pub(crate) version_requirements: HashMap<ServiceId, Vec<VersionRequirement>>,
    pub(crate) pending: SlotMap<RequestKey, PendingRequest>,
    /// Waiting requests, in the order of the last decision on them.
    pub(crate) waiting: Vec<RequestKey>,
    /// Number of gateways of this one's zone.
    pub(crate) zone_gateways: usize,
    pub(crate) rng: RefCell<Rng>,
    /// The retry budget.
    pub retry_budget: RetryBudget,
}

impl Dispatcher {
    /// Creates a dispatcher without endpoints for a process in `zone`.
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
            keys_by_ip: HashMap::new(),
            lapsed: HashMap::new(),
            unlisted_backoffs: UnlistedBackoffs::default(),
            departures: Departures::default(),
            evacuations: Evacuations::default(),
            home_regions: BTreeSet::new(),
            gateways: None,
            cold_starts: HashMap::new(),
            newly_cold: Vec::new(),
            engine_models: HashMap::new(),
            biases: HashMap::new(),
            demand: HashMap::new(),
            zone_exits: HashMap::new(),
            version_requirements: HashMap::new(),
            pending: SlotMap::with_key(),
            waiting: Vec::new(),
            zone_gateways: 1,
            rng: RefCell::new(Rng::new()),
            retry_budget: RetryBudget::new(settings.retries),
            settings,
        }
    }

    /// Sets or clears the published figures of a service's engines.
    pub fn set_engine_profile(&mut self, service: &ServiceId, profile: Option<&EngineProfile>) {
        match profile {
            Some(profile) => {
                self.engine_models.insert(service.clone(), EngineModel::new(profile));
            }
            None => {
                self.engine_models.remove(service);
            }
        }
    }

    /// Sets the regions to which the configuration binds requests.
    pub fn set_home_regions(&mut self, regions: BTreeSet<Region>) {
        self.home_regions = regions;
    }

    /// Sets which versions of the weights may answer the service's requests, and from which time.
    pub fn set_version_requirements(
        &mut self,
        service: &ServiceId,
        required: Vec<VersionRequirement>,
    ) {
        self.version_requirements.insert(service.clone(), required);
    }

    /// Returns an endpoint by its key.
    pub fn endpoint(&self, key: EndpointKey, now: Instant) -> Option<EndpointView> {
        let tracked = self.endpoints.get(key)?;
        let listed = &tracked.listed;
        let served = tracked.version(self.settings.max_report_age, now);
        let is_outdated = self.last_start(tracked, now).is_some_and(|last| now < last);
        let required = self.required_version(&listed.service, now).filter(|_| !is_outdated);
        Some(EndpointView {
            id: listed.id.clone(),
            addr: listed.addr,
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            is_leaving: !tracked.is_listed_ready(),
            version: required.map(|required| served.map_or(required, |v| v.max(required))),
            is_outdated,
        })
    }

    /// The version of the weights that an endpoint serves, as far as that is known.
    pub fn served_version(&self, key: EndpointKey, now: Instant) -> Option<WeightsVersion> {
        self.endpoints.get(key)?.version(self.settings.max_report_age, now)
    }

    /// The service of an endpoint.
    pub fn service_of(&self, key: EndpointKey) -> Option<&ServiceId> {
        self.endpoints.get(key).map(|tracked| &tracked.listed.service)
    }

    /// The id of an endpoint.
    pub fn id_of(&self, key: EndpointKey) -> Option<&EndpointId> {
        self.endpoints.get(key).map(|tracked| &tracked.listed.id)
    }

    /// The availability zone of an endpoint.
    pub fn zone_of(&self, key: EndpointKey) -> Option<&Zone> {
        self.endpoints.get(key).map(|tracked| &tracked.listed.zone)
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

    /// All endpoints with their latest published data.
    pub fn listed_endpoints(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().map(|(key, tracked)| (key, &tracked.listed))
    }

    /// The endpoints that this process may send requests to, with their latest published data.
    pub fn followed_endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values().filter(|tracked| tracked.is_followed).map(|tracked| &tracked.listed)
    }

    /// The endpoints on a VM.
    pub fn endpoints_on_vm(&self, ip: Ipv4Addr) -> impl Iterator<Item = EndpointKey> {
        self.keys_by_ip.get(&ip).into_iter().flatten().copied()
    }

    /// Whether an endpoint is a model engine.
    pub fn is_model_engine(&self, key: EndpointKey) -> bool {
        let tracked = self.endpoints.get(key);
        tracked.is_some_and(|tracked| self.engine_models.contains_key(&tracked.listed.service))
    }

    /// Whether the endpoint's agent reports that it takes no requests because it is loading
    /// weights.
    pub fn is_loading(&self, key: EndpointKey, now: Instant) -> bool {
        let tracked = self.endpoints.get(key);
        let report =
            tracked.and_then(|tracked| tracked.fresh_report(self.settings.max_report_age, now));
        report.is_some_and(|report| !report.serving)
    }

    /// Applies an agent's report on an endpoint.
    pub fn apply_report(&mut self, key: EndpointKey, report: EngineStatus, now: Instant) {
        let Some(tracked) = self.endpoints.get(key) else { return };
        let claims = self.claims_by(tracked, &report);
        self.endpoints[key].apply_report(report, claims, now);
    }

    /// Records the version of the weights that an answer of an endpoint showed.
    pub fn record_version(&mut self, key: EndpointKey, version: WeightsVersion) {
        if let Some(tracked) = self.endpoints.get_mut(key) {
            tracked.observed_version = tracked.observed_version.max(Some(version));
        }
    }

    /// Submits a request that is to be sent. If it has to wait, the returned key identifies it in
    /// the results of `poll`.
    pub fn submit(
        &mut self,
        request: PendingRequest,
        now: Instant,
    ) -> (Option<RequestKey>, Decision) {
        match self.decide_new(&request, now) {
            Decision::Wait => {
                let key = self.pending.insert(request);
                self.waiting.push(key);
                (Some(key), Decision::Wait)
            }
            decision => (None, decision),
        }
    }

    /// Decides again on the waiting requests; returns those that no longer wait.
    pub fn poll(&mut self, now: Instant) -> Vec<(RequestKey, Decision)> {
        let mut order = std::mem::take(&mut self.waiting);
        self.sort_waiting(&mut order, now);
        let mut decided = Vec::new();
        for key in order {
            let Some(request) = self.pending.get(key).cloned() else { continue };
            match self.decide(&request, now) {
                Decision::Wait => self.waiting.push(key),
                decision => {
                    self.pending.remove(key);
                    decided.push((key, decision));
                }
            }
        }
        decided
    }

    /// Removes a waiting request whose caller disconnected.
    pub fn cancel(&mut self, key: RequestKey) {
        self.pending.remove(key);
        self.waiting.retain(|waiting| *waiting != key);
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Records that the first event of a request arrived, and corrects the prediction bias.
    pub fn record_first_event(
        &mut self,
        endpoint: EndpointKey,
        in_flight: InFlightKey,
        now: Instant,
    ) {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return };
        let Some(request) = tracked.in_flight.get_mut(in_flight) else { return };
        request.first_event_received = true;
        let took = now.saturating_duration_since(request.sent_at).as_secs_f64() * 1e3;
        let error_ms = took - request.expected_ms;
        let is_late = (request.due > request.sent_at).then_some(now > request.due);
        let relation = request.relation;
        let (service, zone) = (tracked.listed.service.clone(), tracked.listed.zone.clone());
        // The pause of a silent endpoint says nothing about later predictions.
        if self.record_silence_end(endpoint, in_flight, now) {
            return;
        }
        let error_ms = self.record_way_error(&service, &zone, error_ms, is_late, now);
        let bias = &mut self.biases.entry(service).or_default()[relation as usize];
        bias.record_error(relation, error_ms, now);
    }

    /// Records that an endpoint has sent nothing of a response for too long. Its attempt goes on.
    /// Returns false if that was recorded already.
    pub fn record_silence(
        &mut self,
        endpoint: EndpointKey,
        in_flight: InFlightKey,
        now: Instant,
    ) -> bool {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return false };
        let Some(request) = tracked.in_flight.get_mut(in_flight) else { return false };
        if std::mem::replace(&mut request.is_silent, true) {
            return false;
        }
        tracked.health.record_result(EndpointOutcome::Lost, now);
        true
    }

    /// Records that an endpoint goes on with a response. Returns whether it was recorded as silent
    /// before.
    pub fn record_silence_end(
        &mut self,
        endpoint: EndpointKey,
        in_flight: InFlightKey,
        now: Instant,
    ) -> bool {
        let Some(tracked) = self.endpoints.get_mut(endpoint) else { return false };
        let Some(request) = tracked.in_flight.get_mut(in_flight) else { return false };
        let was_silent = std::mem::take(&mut request.is_silent);
        if was_silent {
            tracked.health.record_result(EndpointOutcome::Answered, now);
        }
        was_silent
    }

    /// Records that a request ended at an endpoint. A loss is not counted again if the endpoint was
    /// recorded as silent.
    pub fn record_result(
        &mut self,
        endpoint: EndpointKey,
        in_flight: InFlightKey,
        result: EndpointOutcome,
        now: Instant,
    ) {
        if let Some(tracked) = self.endpoints.get_mut(endpoint) {
            let request = tracked.in_flight.remove(in_flight);
            if request.is_some_and(|request| request.has_claim) {
                tracked.return_claim();
            }
            let was_silent = request.is_some_and(|request| request.is_silent);
            if !was_silent || result != EndpointOutcome::Lost {
                tracked.health.record_result(result, now);
            }
        }
    }

    /// Number of this process's requests in flight at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointKey) -> usize {
        self.endpoints.get(endpoint).map_or(0, |tracked| tracked.in_flight.len())
    }
}
