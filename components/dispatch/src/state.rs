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
    Bias, Decision, DispatchSettings, EndpointKey, EngineModel, EngineNews, FlightKey, Job, JobKey,
    RepeatBudget, endpoint::Known, health::End, jobs::Required,
};

/// A change of the endpoints that a process acts on.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// An endpoint is new, or started again.
    Added(EndpointKey),
    /// An endpoint published something else.
    Updated(EndpointKey),
    /// An endpoint leaves and gets nothing new.
    Leaving(EndpointKey),
    /// An endpoint is gone.
    Gone(EndpointKey, EndpointId),
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
    pub(crate) endpoints: SlotMap<EndpointKey, Known>,
    pub(crate) ids: HashMap<EndpointId, EndpointKey>,
    /// Endpoints that were missing when the store returned, and when they count as gone.
    pub(crate) lapsed: HashMap<EndpointId, Instant>,
    pub(crate) models: HashMap<ServiceId, EngineModel>,
    pub(crate) biases: HashMap<ServiceId, Bias>,
    pub(crate) required: HashMap<ServiceId, Vec<Required>>,
    jobs: SlotMap<JobKey, Job>,
    /// Requests that wait, in order of arrival.
    pub(crate) waiting: Vec<JobKey>,
    pub(crate) rng: RefCell<Rng>,
    /// The budget of repeats.
    pub repeats: RepeatBudget,
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
            ids: HashMap::new(),
            lapsed: HashMap::new(),
            models: HashMap::new(),
            biases: HashMap::new(),
            required: HashMap::new(),
            jobs: SlotMap::with_key(),
            waiting: Vec::new(),
            rng: RefCell::new(Rng::new()),
            repeats: RepeatBudget::new(settings.repeats),
            settings,
        }
    }

    /// Takes in the figures of a service's engines.
    pub fn set_engine(&mut self, service: &ServiceId, figures: Option<&EngineProfile>) {
        match figures {
            Some(figures) => {
                self.models.insert(service.clone(), EngineModel::new(figures));
            }
            None => {
                self.models.remove(service);
            }
        }
    }

    /// Sets which weights may answer the service's requests, and from when on.
    pub fn require(&mut self, service: &ServiceId, required: Vec<Required>) {
        self.required.insert(service.clone(), required);
    }

    /// An endpoint by its key.
    pub fn endpoint(&self, key: EndpointKey, now: Instant) -> Option<EndpointView> {
        let known = self.endpoints.get(key)?;
        let listed = &known.listed;
        let required = self.required_now(&listed.service, now);
        let serves = known.version(self.settings.report_life, now);
        Some(EndpointView {
            id: listed.id.clone(),
            addr: listed.addr,
            service: listed.service.clone(),
            zone: listed.zone.clone(),
            version: required.map(|required| serves.map_or(required, |v| v.max(required))),
        })
    }

    pub(crate) fn required_now(&self, service: &ServiceId, now: Instant) -> Option<WeightsVersion> {
        let required = self.required.get(service)?.iter().filter(|r| now >= r.from);
        required.map(|r| r.version).max()
    }

    /// All endpoints as they are listed.
    pub fn listed(&self) -> impl Iterator<Item = (EndpointKey, &Endpoint)> {
        self.endpoints.iter().map(|(key, known)| (key, &known.listed))
    }

    /// The endpoint of a service on a VM.
    pub fn on_vm(&self, ip: Ipv4Addr) -> impl Iterator<Item = EndpointKey> {
        let there = move |known: &Known| known.ip() == Some(ip);
        self.endpoints.iter().filter(move |(_, known)| there(known)).map(|(key, _)| key)
    }

    /// Whether an endpoint is a model engine.
    pub fn is_model(&self, key: EndpointKey) -> bool {
        let known = self.endpoints.get(key);
        known.is_some_and(|known| self.models.contains_key(&known.listed.service))
    }

    /// Whether an endpoint's agent says that it takes no requests, as it loads weights.
    pub fn is_loading(&self, key: EndpointKey, now: Instant) -> bool {
        let known = self.endpoints.get(key);
        let news = known.and_then(|known| known.fresh_news(self.settings.report_life, now));
        news.is_some_and(|news| !news.serving)
    }

    /// An agent reported on an endpoint.
    pub fn report(&mut self, key: EndpointKey, news: EngineNews, now: Instant) {
        if let Some(known) = self.endpoints.get_mut(key) {
            known.report(news, now);
        }
    }

    /// An answer showed the weights that an endpoint serves.
    pub fn saw_version(&mut self, key: EndpointKey, version: WeightsVersion) {
        if let Some(known) = self.endpoints.get_mut(key) {
            known.seen = known.seen.max(Some(version));
        }
    }

    /// A request is to be sent. Where the decision is to wait, its key names it for `poll`.
    pub fn submit(&mut self, job: Job, now: Instant) -> (Option<JobKey>, Decision) {
        match self.decide(&job, now) {
            Decision::Wait => {
                let key = self.jobs.insert(job);
                self.waiting.push(key);
                (Some(key), Decision::Wait)
            }
            decision => (None, decision),
        }
    }

    /// Looks again at the requests that wait; returns those that wait no longer.
    pub fn poll(&mut self, now: Instant) -> Vec<(JobKey, Decision)> {
        let mut order = std::mem::take(&mut self.waiting);
        order.sort_by_key(|key| self.jobs.get(*key).map(|job| (job.rank, job.arrived)));
        let mut decided = Vec::new();
        for key in order {
            let Some(job) = self.jobs.get(key).cloned() else { continue };
            match self.decide(&job, now) {
                Decision::Wait => self.waiting.push(key),
                decision => {
                    self.jobs.remove(key);
                    decided.push((key, decision));
                }
            }
        }
        decided
    }

    /// The caller of a request that waits has left.
    pub fn cancel(&mut self, key: JobKey) {
        self.jobs.remove(key);
        self.waiting.retain(|waiting| *waiting != key);
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// The first event of a request has come.
    pub fn started(&mut self, endpoint: EndpointKey, flight: FlightKey, now: Instant) {
        let Some(known) = self.endpoints.get_mut(endpoint) else { return };
        let Some(flight) = known.flights.get_mut(flight) else { return };
        flight.started = true;
        let took = now.saturating_duration_since(flight.sent).as_secs_f64() * 1e3;
        let bias = self.biases.entry(known.listed.service.clone()).or_default();
        bias.began(took - flight.expected);
    }

    /// A request has ended at an endpoint.
    pub fn ended(&mut self, endpoint: EndpointKey, flight: FlightKey, end: End, now: Instant) {
        if let Some(known) = self.endpoints.get_mut(endpoint) {
            known.flights.remove(flight);
            known.health.ended(end, now);
        }
    }

    /// Requests of this process at an endpoint.
    pub fn in_flight(&self, endpoint: EndpointKey) -> usize {
        self.endpoints.get(endpoint).map_or(0, |known| known.flights.len())
    }
}
