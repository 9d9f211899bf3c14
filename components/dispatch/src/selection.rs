//! Endpoint selection: which endpoint suits a request best, and whether the request should wait or
//! be refused instead.

use std::time::{Duration, Instant};

use base::Zone;
use catalog::interrupts_on_load;

use crate::{
    Decision, DispatchSettings, EndpointKey, InFlightRequest, PendingRequest, Refusal, RequestKey,
    endpoint::TrackedEndpoint, state::Dispatcher,
};

/// How well an endpoint suits a request.
struct Candidate {
    key: EndpointKey,
    /// Predicted time until the first event, in milliseconds.
    expected_ms: f64,
    /// `expected_ms` plus the penalties of the endpoint, in milliseconds.
    cost_ms: f64,
    /// Whether the endpoint can meet the objective without exceeding the maximum event gap of
    /// running requests.
    meets_objective: bool,
    /// Whether the endpoint has capacity for a request that will miss its objective.
    has_late_capacity: bool,
    /// Whether the limit that the endpoint names, if it does, leaves this gateway a request.
    has_token: bool,
}

/// Number of waiting requests that lengthens the retry-after time by its minimum once more.
const RETRY_AFTER_SCALE: f64 = 16.0;
/// Penalty of an endpoint whose answers were all failures.
const FAILURE_COST_MS: f64 = 600.0;
/// Maximum penalty of an endpoint in this zone that other gateways prefer, as a multiple of
/// `shared_cost`.
const LOCAL_SHARED_COST_FACTOR: f64 = 2.0;
/// Maximum penalty of an endpoint in another zone that other gateways prefer, as a multiple of
/// `shared_cost`.
const REMOTE_SHARED_COST_FACTOR: f64 = 4.0;
/// Penalty of an endpoint at which a resumed stream may be interrupted again.
const RELOAD_COST_MS: f64 = 400.0;
/// Maximum predicted time until the first event; figures of an engine may predict any number.
const MAX_EXPECTED: Duration = Duration::from_secs(3600);
/// Expected time of a request at a plain service, of which no latency is predicted.
const DEFAULT_PLAIN_MS: f64 = 60.0;

/// Converts a predicted time in milliseconds.
fn predicted_time(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1e3).unwrap_or(MAX_EXPECTED).min(MAX_EXPECTED)
}

impl Dispatcher {
    pub(crate) fn decide(&mut self, request: &PendingRequest, now: Instant) -> Decision {
        if now >= request.deadline {
            return self.refuse(Refusal::Late);
        }
        self.refill_limits(&request.service, now);
        let candidates = self.candidates(request, now);
        if candidates.is_empty() {
            return self.wait_for_return(request, now);
        }
        // A request that is late in any case may use the capacity that is left.
        let late = request.was_refused
            || now.saturating_duration_since(request.requested_at) > request.latency_objective;
        let fits = |c: &&Candidate| c.meets_objective || late && c.has_late_capacity;
        let best = |needs_token: bool| {
            let fitting = candidates.iter().filter(|c| fits(c) && (c.has_token || !needs_token));
            // One that meets the objective comes before one that has late capacity only.
            fitting.min_by(|a, b| {
                b.meets_objective.cmp(&a.meets_objective).then(a.cost_ms.total_cmp(&b.cost_ms))
            })
        };
        let wanted = best(false).filter(|c| !c.has_token).map(|c| c.key);
        if let Some(candidate) = best(true) {
            let (key, expected_ms) = (candidate.key, candidate.expected_ms);
            self.record_wanted(wanted, now);
            return self.send(key, request, expected_ms, now);
        }
        let limited = candidates.iter().filter(|c| fits(c)).map(|c| c.key);
        let limited: Vec<EndpointKey> = limited.collect();
        self.record_wanted(limited.iter().copied(), now);
        match candidates.iter().any(|c| c.has_token) || limited.is_empty() {
            true => self.wait_or_refuse(request, Refusal::Overload, now),
            false => self.wait_or_refuse_limited(request, &limited, now),
        }
    }

    /// Lets a request wait for a token of a limited endpoint, if it will get one in time.
    fn wait_or_refuse_limited(
        &self,
        request: &PendingRequest,
        limited: &[EndpointKey],
        now: Instant,
    ) -> Decision {
        let waited = now.saturating_duration_since(request.arrived_at);
        let max_wait = request.latency_objective.mul_f64(self.settings.max_wait_fraction);
        let left = max_wait.saturating_sub(waited);
        let of_service = |key: &&RequestKey| {
            self.pending.get(**key).is_some_and(|pending| pending.service == request.service)
        };
        let ahead = self.waiting.iter().filter(of_service).count() as f64;
        if self.tokens_within(limited, left, now) >= ahead + 1.0 {
            return self.wait_or_refuse(request, Refusal::Limited, now);
        }
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        let in_time = |time: &Duration| self.tokens_within(limited, *time, now) >= ahead + 1.0;
        let steps = (1..).map(|n| min_retry_after * n).take_while(|time| *time < max_retry_after);
        let retry_after = steps.into_iter().find(in_time).unwrap_or(max_retry_after);
        Decision::Refuse { reason: Refusal::Limited, retry_after }
    }

    fn send(
        &mut self,
        key: EndpointKey,
        request: &PendingRequest,
        expected_ms: f64,
        now: Instant,
    ) -> Decision {
        let prompt_tokens = request.size.map_or(0.0, |size| size.prompt_tokens);
        let in_flight = InFlightRequest {
            prompt_tokens,
            sent_at: now,
            expected_ms,
            first_event_received: false,
            is_silent: false,
        };
        self.take_token(key, now);
        let in_flight = self.endpoints[key].in_flight.insert(in_flight);
        let expected = predicted_time(expected_ms);
        Decision::Send { endpoint: key, in_flight, expected }
    }

    /// Lets a request wait for an endpoint that takes none for a moment, unless that moment is longer than
    /// the request may wait.
    fn wait_for_return(&self, request: &PendingRequest, now: Instant) -> Decision {
        let max_wait = request.latency_objective.mul_f64(self.settings.max_wait_fraction);
        match self.earliest_return(request, now) {
            None => self.refuse(Refusal::NoEndpoint),
            Some(at) if at > now.max(request.arrived_at + max_wait) => {
                let backoff = self.service_backoff(&request.service, now);
                let retry_after = backoff.unwrap_or(self.settings.max_retry_after);
                Decision::Refuse { reason: Refusal::Backoff, retry_after }
            }
            Some(_) => self.wait_or_refuse(request, Refusal::NoEndpoint, now),
        }
    }

    /// Lets a request wait, unless it has waited too long or too many requests are waiting.
    fn wait_or_refuse(&self, request: &PendingRequest, reason: Refusal, now: Instant) -> Decision {
        let waited = now.saturating_duration_since(request.arrived_at);
        let full = self.waiting.len() >= self.settings.max_waiting;
        if full || waited >= request.latency_objective.mul_f64(self.settings.max_wait_fraction) {
            return self.refuse(reason);
        }
        Decision::Wait
    }

    fn refuse(&self, reason: Refusal) -> Decision {
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        // The more requests are waiting, the later there is capacity.
        let factor = 1.0 + self.waiting.len() as f64 / RETRY_AFTER_SCALE;
        let wait = match reason {
            Refusal::NoEndpoint => max_retry_after,
            Refusal::Overload | Refusal::Backoff | Refusal::Limited | Refusal::Late => {
                min_retry_after.mul_f64(factor)
            }
        };
        Decision::Refuse { reason, retry_after: wait.min(max_retry_after) }
    }

    fn candidates(&self, request: &PendingRequest, now: Instant) -> Vec<Candidate> {
        let usable = self.endpoints.iter().filter(|(key, tracked)| {
            tracked.listed.service == request.service
                && !request.tried.contains(key)
                && self.is_usable(tracked, now)
        });
        usable.map(|(key, tracked)| self.candidate(key, tracked, request, now)).collect()
    }

    fn is_usable(&self, tracked: &TrackedEndpoint, now: Instant) -> bool {
        let is_in_use = tracked.is_followed && tracked.is_listed_ready();
        if !is_in_use || tracked.is_backing_off(now) || !tracked.health.is_available(now) {
            return false;
        }
        if !self.engine_models.contains_key(&tracked.listed.service) {
            return true;
        }
        let max_age = self.settings.max_report_age;
        if tracked.fresh_report(max_age, now).is_some_and(|report| !report.serving) {
            return false;
        }
        match (tracked.version(max_age, now), self.required_version(&tracked.listed.service, now)) {
            (None, _) => false,
            (Some(version), Some(required)) => version >= required,
            (Some(_), None) => true,
        }
    }

    fn candidate(
        &self,
        key: EndpointKey,
        tracked: &TrackedEndpoint,
        request: &PendingRequest,
        now: Instant,
    ) -> Candidate {
        let distance = self.distance_cost_ms(&tracked.listed.zone);
        let waited = now.saturating_duration_since(request.requested_at).as_secs_f64() * 1e3;
        let budget =
            request.latency_objective.as_secs_f64() * 1e3 * self.settings.objective_fraction
                - self.settings.caller_round_trip.as_secs_f64() * 1e3
                - waited;
        let bias = self.biases.get(&request.service).copied().unwrap_or_default().correction_ms();
        let max_age = self.settings.max_report_age;
        let shared = tracked.fresh_report(max_age, now).is_some_and(|report| !report.is_preferred);
        let shared = if shared { self.shared_cost_ms(distance) } else { 0.0 };
        let penalty = distance + shared + tracked.health.failure_rate() * FAILURE_COST_MS;
        let Some(model) = self.engine_models.get(&request.service) else {
            return self.plain_candidate(key, tracked, penalty);
        };
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
        let fraction = if request.is_resumed { 1.0 } else { self.settings.late_slot_fraction };
        let reload = if request.is_resumed { self.reload_cost_ms(tracked, now) } else { 0.0 };
        Candidate {
            key,
            expected_ms,
            cost_ms: expected_ms + penalty + reload,
            meets_objective: harmless && expected_ms + bias <= budget,
            has_late_capacity: harmless && total < slots * fraction,
            has_token: tracked.limit.has_token(),
        }
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

    /// Penalty of an endpoint that other gateways prefer. It is drawn at random each time, because
    /// gateways that see the same outdated report would otherwise all choose the same endpoint.
    /// Reports from other zones are older, so the penalty is larger for them.
    fn shared_cost_ms(&self, distance: f64) -> f64 {
        let base = self.settings.shared_cost.as_secs_f64() * 1e3;
        let max_cost = if distance > 0.0 {
            REMOTE_SHARED_COST_FACTOR * base
        } else {
            LOCAL_SHARED_COST_FACTOR * base
        };
        self.rng.borrow_mut().f64() * max_cost
    }

    fn distance_cost_ms(&self, zone: &Zone) -> f64 {
        let DispatchSettings { cross_zone_cost, cross_region_cost, .. } = self.settings;
        if *zone == self.zone {
            return 0.0;
        }
        let same_region = self.regions.get(zone) == self.regions.get(&self.zone);
        let region = if same_region { Duration::ZERO } else { cross_region_cost };
        (cross_zone_cost + region).as_secs_f64() * 1e3
    }
}
