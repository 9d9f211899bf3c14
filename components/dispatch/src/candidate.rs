//! How well an endpoint suits a request.

use std::time::{Duration, Instant};

use base::ServiceId;
use catalog::interrupts_on_load;
use slotmap::Key;

use crate::{EndpointKey, PendingRequest, Relation, endpoint::TrackedEndpoint, state::Dispatcher};

/// How well an endpoint suits a request.
pub(crate) struct Candidate {
    pub(crate) key: EndpointKey,
    /// Predicted time until the first event, in milliseconds.
    pub(crate) expected_ms: f64,
    /// `expected_ms` plus the penalties of the endpoint, in milliseconds.
    pub(crate) cost_ms: f64,
    /// Whether the endpoint can meet the objective without exceeding the maximum event gap of
    /// running requests.
    pub(crate) meets_objective: bool,
    /// Whether the endpoint has capacity for a request that will miss its objective.
    pub(crate) has_late_capacity: bool,
    /// Whether the limit that the endpoint names, if it does, leaves this gateway a request.
    pub(crate) has_token: bool,
}

impl Candidate {
    /// Predicted time until the first event.
    pub(crate) fn expected(&self) -> Duration {
        predicted_time(self.expected_ms)
    }
}

/// What the suitability of all endpoints for a request depends on.
pub(crate) struct RequestTerms {
    /// Time to add to a prediction by relation, in milliseconds.
    corrections_ms: [f64; Relation::ALL.len()],
    /// Mean number of slots of an engine that the request keeps free.
    kept_free: f64,
}

/// Maximum predicted time until the first event; figures of an engine may predict any number.
const MAX_EXPECTED: Duration = Duration::from_secs(3600);

/// Converts a predicted time in milliseconds.
pub(crate) fn predicted_time(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(MAX_EXPECTED).min(MAX_EXPECTED)
}

/// Fraction of the slots of an engine that may be kept free.
const MAX_KEPT_FREE_FRACTION: f64 = 0.25;
/// Penalty of an endpoint whose answers were all failures.
pub(crate) const FAILURE_COST_MS: f64 = 600.0;
/// Penalty of an endpoint at which a resumed stream may be interrupted again.
const RELOAD_COST_MS: f64 = 400.0;
/// Expected time of a request at a plain service, of which no latency is predicted.
const DEFAULT_PLAIN_MS: f64 = 60.0;

/// Slots that a request keeps free at one engine. As slots are whole, some engines keep one more than
/// others, always the same ones.
fn kept_free_at(key: EndpointKey, mean: f64, slots: f64) -> f64 {
    let fraction = even_fraction(key);
    (mean.min(slots * MAX_KEPT_FREE_FRACTION) + fraction).floor()
}

/// A number below 1 that is evenly distributed among the endpoints.
fn even_fraction(key: EndpointKey) -> f64 {
    let hash = key.data().as_ffi().wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    hash as f64 / 2f64.powi(32)
}

impl Dispatcher {
    /// Predicts how well an endpoint suits a request.
    pub(crate) fn candidate(
        &self,
        key: EndpointKey,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
        terms: &RequestTerms,
        now: Instant,
    ) -> Candidate {
        let distance = self.distance(&tracked.listed, now);
        let waited = now.saturating_duration_since(request.requested_at).as_secs_f64() * 1e3;
        let budget =
            request.latency_objective.as_secs_f64() * 1e3 * self.settings.objective_fraction
                - self.settings.caller_round_trip.as_secs_f64() * 1e3
                - waited
                - distance.extra_ms;
        let max_age = self.settings.max_report_age;
        let shared = tracked.fresh_report(max_age, now).is_some_and(|report| !report.is_preferred);
        let shared = if shared { self.shared_cost_ms(distance.cost_ms) } else { 0.0 };
        let penalty = distance.cost_ms + shared + tracked.health.failure_rate() * FAILURE_COST_MS;
        let Some(model) = self.engine_models.get(&request.service) else {
            return self.plain_candidate(key, tracked, penalty);
        };
        let relation = self.relation(tracked, now);
        let bias = terms.corrections_ms[relation as usize];
        let load = tracked.load(model, max_age, now);
        let prompt = request.size.map_or(model.mean_prompt_tokens(), |size| size.prompt_tokens);
        let expected_ms = model.time_to_first_event_ms(&load, prompt);
        let pass_ms = model.next_pass_ms(&load, prompt);
        let gap_ms = request.max_event_gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1e3);
        // If nothing else waits for prefill, the request is accepted even when its own prompt takes
        // longer than the event gap allows: it has to be prefilled somewhere.
        let harmless =
            load.awaiting_prefill == 0.0 || pass_ms <= gap_ms * self.settings.event_gap_fraction;
        let slots = f64::from(model.slots());
        let total = tracked.total_in_flight();
        let may_claim = request.is_resumed || self.may_claim(tracked, relation, now);
        let kept_free = kept_free_at(key, terms.kept_free, slots);
        let leaves_room = total == 0.0 || kept_free == 0.0 || total + 1.0 + kept_free <= slots;
        let fraction = if request.is_resumed { 1.0 } else { self.settings.late_slot_fraction };
        let reload = if request.is_resumed { self.reload_cost_ms(tracked, now) } else { 0.0 };
        Candidate {
            key,
            expected_ms,
            cost_ms: expected_ms + bias + penalty + reload,
            meets_objective: harmless && may_claim && leaves_room && expected_ms + bias <= budget,
            has_late_capacity: harmless && may_claim && leaves_room && total < slots * fraction,
            has_token: tracked.limit.has_token(),
        }
    }

    /// What the suitability of all endpoints for a request depends on.
    pub(crate) fn terms(&self, request: &PendingRequest, now: Instant) -> RequestTerms {
        let correction = |relation: Relation| {
            let bias = self.biases.get(&request.service).map(|biases| biases[relation as usize]);
            bias.map_or(0.0, |bias| bias.correction_ms(now))
        };
        RequestTerms {
            corrections_ms: Relation::ALL.map(correction),
            kept_free: self.kept_free(request, now),
        }
    }

    /// How this gateway is related to an endpoint.
    pub(crate) fn relation(&self, tracked: &TrackedEndpoint, now: Instant) -> Relation {
        let report = tracked.fresh_report(self.settings.max_report_age, now);
        match (tracked.listed.zone == self.zone, report) {
            (_, Some(report)) if report.is_preferred => Relation::Preferred,
            (false, _) => Relation::OtherZone,
            (true, Some(_)) => Relation::SameZone,
            (true, None) => Relation::Preferred,
        }
    }

    /// The services of engines of which no endpoint in the own zone may get requests, so that all go to
    /// other zones.
    pub fn displaced_services(&self) -> impl Iterator<Item = ServiceId> {
        let is_evacuated = self.evacuations.contains(&self.zone);
        let is_local = |service: &ServiceId, tracked: &TrackedEndpoint| {
            tracked.listed.service == *service
                && tracked.listed.zone == self.zone
                && tracked.is_listed_ready()
        };
        let has_local =
            move |service: &ServiceId| self.endpoints.values().any(|t| is_local(service, t));
        self.engine_models
            .keys()
            .filter(move |service| is_evacuated || !has_local(service))
            .cloned()
    }

    /// Penalty of an endpoint that is about to load other weights and interrupts its running
    /// requests to do so. The last endpoints of a zone by address let their requests finish
    /// instead.
    fn reload_cost_ms(&self, tracked: &TrackedEndpoint, now: Instant) -> f64 {
        if !self.will_load(tracked, now) {
            return 0.0;
        }
        let (service, zone) = (&tracked.listed.service, &tracked.listed.zone);
        let in_zone = |other: &&TrackedEndpoint| {
            other.listed.service == *service && other.listed.zone == *zone
        };
        let all = self.endpoints.values().filter(in_zone);
        let interrupts = tracked
            .ip()
            .is_some_and(|ip| interrupts_on_load(ip, all.filter_map(TrackedEndpoint::ip)));
        if interrupts { RELOAD_COST_MS } else { 0.0 }
    }

    /// Whether the endpoint serves older weights than the newest required version, so that it is
    /// about to load them.
    fn will_load(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        let required = self.version_requirements.get(&tracked.listed.service);
        let newest = required.and_then(|all| all.iter().map(|r| r.version).max());
        tracked.version(self.settings.max_report_age, now) < newest
    }

    fn plain_candidate(
        &self,
        key: EndpointKey,
        tracked: &TrackedEndpoint,
        penalty: f64,
    ) -> Candidate {
        let slots = f64::from(tracked.listed.slots.max(1));
        let total = tracked.total_in_flight();
        let rounds = (total + 1.0) / slots;
        let expected_ms = DEFAULT_PLAIN_MS * rounds.max(1.0);
        let free = total < slots;
        Candidate {
            key,
            expected_ms,
            cost_ms: DEFAULT_PLAIN_MS * rounds + penalty,
            meets_objective: free,
            has_late_capacity: free,
            has_token: tracked.limit.has_token(),
        }
    }
}
