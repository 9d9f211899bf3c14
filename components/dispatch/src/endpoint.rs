//! State that a gateway keeps of one endpoint.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use catalog::{Endpoint, EndpointState, WeightsVersion};
use slotmap::{SlotMap, new_key_type};

use crate::{
    Health, Relation,
    claims::Claims,
    cold::ColdState,
    engine::{EngineLoad, EngineModel},
    limits::EndpointLimit,
};

new_key_type! {
    /// Identifies an endpoint within this process.
    pub struct EndpointKey;
    /// Identifies a request in flight at an endpoint within this process.
    pub struct InFlightKey;
}

/// A request in flight at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlightRequest {
    /// Length of the prompt in tokens.
    pub prompt_tokens: f64,
    /// Cache tokens that it is expected to need; 0 at a plain service.
    pub cache_tokens: f64,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the first event is due.
    pub due: Instant,
    /// Predicted time until the first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether the request took a slot of this gateway's share.
    pub has_claim: bool,
    /// How this gateway was related to the endpoint when the request was sent.
    pub relation: Relation,
    /// Whether the first event arrived.
    pub first_event_received: bool,
    /// Whether the endpoint was recorded as silent since it was last heard of.
    pub is_silent: bool,
}

/// An agent's report on an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Whether the engine takes requests.
    pub serving: bool,
    /// Version of the weights that it holds.
    pub version: Option<WeightsVersion>,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Requests that run at the engine.
    pub running: u32,
    /// Share of the KV cache in use, if it is known.
    pub cache_share: Option<f64>,
    /// Factor by which the engine is slower than its published figures.
    pub slowdown: f64,
    /// Whether this gateway is one of those that send requests to the engine first.
    pub is_preferred: bool,
    /// When the agent process that sent the report started; identifies the run that `sequence`
    /// counts in.
    pub agent_run: u64,
    /// Number of the report within that run, to detect reports that arrive out of order.
    pub sequence: u32,
}

/// An endpoint and what is known of its load and health.
#[derive(Debug, Clone)]
pub(crate) struct TrackedEndpoint {
    pub(crate) listed: Endpoint,
    /// Whether requests may be sent to it: always for a plain service, for an engine if it is in the
    /// subset of this process, which gets its reports.
    pub(crate) is_followed: bool,
    /// When the endpoint was listed as draining.
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) health: Health,
    /// The endpoint asked to be sent nothing before this time. Neither an answer nor a later refusal
    /// brings it forward.
    pub(crate) backoff_until: Option<Instant>,
    pub(crate) in_flight: SlotMap<InFlightKey, InFlightRequest>,
    pub(crate) last_report: Option<(EngineStatus, Instant)>,
    /// Slots that this gateway may take until the next report, unless it prefers the endpoint.
    pub(crate) claims: Claims,
    /// Requests of other gateways at the endpoint, as of the last report.
    pub(crate) others_in_flight: f64,
    /// Those of `others_in_flight` that had no slot.
    pub(crate) others_waiting: f64,
    /// Prompt tokens of the own requests that had begun at the last report, which counts them.
    pub(crate) reported_prompts: f64,
    /// The limit that it names for the requests of all gateways together.
    pub(crate) limit: EndpointLimit,
    /// How long it is cold, and what this gateway may send it meanwhile.
    pub(crate) cold: ColdState,
    /// Version of the weights that an answer showed; it may be newer than the listed one.
    pub(crate) observed_version: Option<WeightsVersion>,
}

/// Transit time of a report: requests sent within this time before its arrival are not counted in
/// it yet.
const REPORT_TRANSIT_TIME: Duration = Duration::from_millis(8);

impl TrackedEndpoint {
    pub(crate) fn new(listed: Endpoint) -> TrackedEndpoint {
        TrackedEndpoint {
            listed,
            is_followed: true,
            leaving_since: None,
            health: Health::default(),
            backoff_until: None,
            in_flight: SlotMap::with_key(),
            last_report: None,
            claims: Claims::default(),
            others_in_flight: 0.0,
            others_waiting: 0.0,
            reported_prompts: 0.0,
            limit: EndpointLimit::default(),
            cold: ColdState::default(),
            observed_version: None,
        }
    }

    pub(crate) fn ip(&self) -> Option<Ipv4Addr> {
        match self.listed.addr.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }
    }

    /// Applies a report, unless it is older than the last one.
    pub(crate) fn apply_report(&mut self, report: EngineStatus, claims: Claims, now: Instant) {
        if let Some((last, _)) = &self.last_report
            && last.agent_run == report.agent_run
            && report.sequence <= last.sequence
        {
            return;
        }
        let in_report = |request: &InFlightRequest| {
            now.saturating_duration_since(request.sent_at) > REPORT_TRANSIT_TIME
        };
        let own = self.in_flight.values().filter(|f| in_report(f)).count() as f64;
        let own_awaiting_prefill =
            self.in_flight.values().filter(|f| in_report(f) && !f.first_event_received).count()
                as f64;
        let total = f64::from(report.waiting + report.running);
        self.others_in_flight = (total - own).max(0.0);
        self.others_waiting =
            (f64::from(report.waiting) - own_awaiting_prefill).max(0.0).min(self.others_in_flight);
        self.claims = claims;
        self.reported_prompts = self.begun_prompts();
        self.last_report = Some((report, now));
    }

    /// The last report, unless it is too old.
    pub(crate) fn fresh_report(&self, max_age: Duration, now: Instant) -> Option<&EngineStatus> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < max_age;
        self.last_report.as_ref().filter(|(_, at)| fresh(*at)).map(|(report, _)| report)
    }

    /// The version of the weights that the endpoint serves, by the newest source.
    pub(crate) fn version(&self, max_age: Duration, now: Instant) -> Option<WeightsVersion> {
        if let Some(report) = self.fresh_report(max_age, now) {
            return report.version;
        }
        let listed = self.listed.held.iter().map(|held| held.version).max();
        listed.max(self.observed_version)
    }

    /// Requests in flight at the endpoint, of all gateways.
    pub(crate) fn total_in_flight(&self) -> f64 {
        self.in_flight.len() as f64 + self.others_in_flight
    }

    pub(crate) fn load(&self, model: &EngineModel, max_age: Duration, now: Instant) -> EngineLoad {
        let own_awaiting_prefill = self.in_flight.values().filter(|f| !f.first_event_received);
        let (count, tokens) = own_awaiting_prefill
            .fold((0.0, 0.0), |(count, sum), f| (count + 1.0, sum + f.prompt_tokens));
        let awaiting_prefill = count + self.others_waiting;
        EngineLoad {
            decoding: (self.total_in_flight() - awaiting_prefill).max(0.0),
            awaiting_prefill,
            prefill_tokens: tokens + self.others_waiting * model.mean_prompt_tokens(),
            slowdown: self
                .fresh_report(max_age, now)
                .map_or(1.0, |report| report.slowdown.max(0.1)),
        }
    }

    /// Whether the endpoint may get new requests according to its published data.
    pub(crate) fn is_listed_ready(&self) -> bool {
        self.leaving_since.is_none() && self.listed.state == EndpointState::Ready
    }
}
