//! What an entry knows of one endpoint.

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use catalog::{Endpoint, EndpointState, WeightsVersion};
use slotmap::{SlotMap, new_key_type};

use crate::{
    Health,
    engine::{EngineLoad, EngineModel},
};

new_key_type! {
    /// Names an endpoint within this process.
    pub struct EndpointKey;
    /// Names a request at an endpoint within this process.
    pub struct InFlightKey;
}

/// A request at an endpoint.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct InFlightRequest {
    /// Its prompt in tokens.
    pub prompt_tokens: f64,
    /// When it was sent.
    pub sent_at: Instant,
    /// Predicted time until its first event, in milliseconds.
    pub expected_ms: f64,
    /// Whether its first event has come.
    pub first_event_received: bool,
}

/// What an agent reported of an engine.
#[derive(Debug, Clone, PartialEq)]
pub struct EngineStatus {
    /// Whether it takes requests.
    pub serving: bool,
    /// The weights that it holds.
    pub version: Option<WeightsVersion>,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that run there.
    pub running: u32,
    /// Cache tokens in use.
    pub cache_used: u64,
    /// Factor by which it is slower than published.
    pub slowdown: f64,
    /// Whether this entry sends requests there first.
    pub is_preferred: bool,
    /// When the agent's run that reported it started; tells late news.
    pub agent_run: u64,
    /// Counts the reports of that run.
    pub sequence: u32,
}

/// One endpoint.
#[derive(Debug)]
pub(crate) struct TrackedEndpoint {
    pub(crate) listed: Endpoint,
    /// When it was listed as leaving, or as gone while the store was away.
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) health: Health,
    pub(crate) in_flight: SlotMap<InFlightKey, InFlightRequest>,
    pub(crate) last_report: Option<(EngineStatus, Instant)>,
    /// Requests of other entries there, by the last report.
    pub(crate) others_in_flight: f64,
    /// Those of them that had no slot.
    pub(crate) others_waiting: f64,
    /// Weights that an answer showed, which may be newer than what is listed.
    pub(crate) observed_version: Option<WeightsVersion>,
}

/// Time on the way of a report, in which requests that were sent do not show in it yet.
const REPORT_TRANSIT_TIME: Duration = Duration::from_millis(8);

impl TrackedEndpoint {
    pub(crate) fn new(listed: Endpoint) -> TrackedEndpoint {
        TrackedEndpoint {
            listed,
            leaving_since: None,
            health: Health::default(),
            in_flight: SlotMap::with_key(),
            last_report: None,
            others_in_flight: 0.0,
            others_waiting: 0.0,
            observed_version: None,
        }
    }

    pub(crate) fn ip(&self) -> Option<Ipv4Addr> {
        match self.listed.addr.ip() {
            std::net::IpAddr::V4(ip) => Some(ip),
            std::net::IpAddr::V6(_) => None,
        }
    }

    /// Takes in a report, unless it is older than the last one.
    pub(crate) fn apply_report(&mut self, news: EngineStatus, now: Instant) {
        if let Some((last, _)) = &self.last_report
            && last.agent_run == news.agent_run
            && news.sequence <= last.sequence
        {
            return;
        }
        let seen_there = |flight: &InFlightRequest| {
            now.saturating_duration_since(flight.sent_at) > REPORT_TRANSIT_TIME
        };
        let own = self.in_flight.values().filter(|f| seen_there(f)).count() as f64;
        let own_unread =
            self.in_flight.values().filter(|f| seen_there(f) && !f.first_event_received).count()
                as f64;
        let total = f64::from(news.waiting + news.running);
        self.others_in_flight = (total - own).max(0.0);
        self.others_waiting =
            (f64::from(news.waiting) - own_unread).max(0.0).min(self.others_in_flight);
        self.last_report = Some((news, now));
    }

    /// The last report, unless it is too old.
    pub(crate) fn fresh_report(&self, life: Duration, now: Instant) -> Option<&EngineStatus> {
        let fresh = |at: Instant| now.saturating_duration_since(at) < life;
        self.last_report.as_ref().filter(|(_, at)| fresh(*at)).map(|(news, _)| news)
    }

    /// The weights that it serves, by the newest source.
    pub(crate) fn version(&self, life: Duration, now: Instant) -> Option<WeightsVersion> {
        if let Some(news) = self.fresh_report(life, now) {
            return news.version;
        }
        let listed = self.listed.held.iter().map(|held| held.version).max();
        listed.max(self.observed_version)
    }

    /// Requests there, of all entries.
    pub(crate) fn total_in_flight(&self) -> f64 {
        self.in_flight.len() as f64 + self.others_in_flight
    }

    pub(crate) fn load(&self, model: &EngineModel, life: Duration, now: Instant) -> EngineLoad {
        let own_unread = self.in_flight.values().filter(|f| !f.first_event_received);
        let (count, tokens) =
            own_unread.fold((0.0, 0.0), |(count, sum), f| (count + 1.0, sum + f.prompt_tokens));
        let unread = count + self.others_waiting;
        EngineLoad {
            decoding: (self.total_in_flight() - unread).max(0.0),
            awaiting_prefill: unread,
            prefill_tokens: tokens + self.others_waiting * model.mean_prompt_tokens(),
            slowdown: self.fresh_report(life, now).map_or(1.0, |news| news.slowdown.max(0.1)),
        }
    }

    /// Whether it may get new work by what is listed.
    pub(crate) fn is_listed_ready(&self) -> bool {
        self.leaving_since.is_none() && self.listed.state == EndpointState::Ready
    }
}
