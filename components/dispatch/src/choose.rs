//! The choice: which endpoint suits a request best, and whether it had better wait or be refused.

use std::time::{Duration, Instant};

use base::Zone;
use catalog::interrupts_on_load;

use crate::{
    Decision, DispatchSettings, EndpointKey, InFlightRequest, PendingRequest, Refusal,
    endpoint::TrackedEndpoint, state::Dispatcher,
};

/// How well an endpoint suits a request.
struct Candidate {
    key: EndpointKey,
    /// Predicted time until the first event.
    expected_ms: f64,
    /// `expected` and what else speaks against the endpoint, in milliseconds.
    cost_ms: f64,
    /// Whether the objective is met without harm to others.
    meets_objective: bool,
    /// Whether it has room for a request that will be late.
    has_late_capacity: bool,
}

/// Waiting requests for which a caller is told to wait as long again.
const RETRY_AFTER_SCALE: f64 = 16.0;
/// Cost of an endpoint all of whose answers were failures.
const FAILURE_COST_MS: f64 = 600.0;
/// Largest cost of an endpoint of this zone that others send requests to, in usual ones.
const LOCAL_SHARED_COST_FACTOR: f64 = 2.0;
/// The same for endpoints of other zones.
const REMOTE_SHARED_COST_FACTOR: f64 = 4.0;
/// Cost of an endpoint at which a resumed stream may break off again.
const RELOAD_COST_MS: f64 = 400.0;
/// Time of a request at a plain service before any was measured.
const DEFAULT_PLAIN_MS: f64 = 60.0;

impl Dispatcher {
    pub(crate) fn decide(&mut self, job: &PendingRequest, now: Instant) -> Decision {
        if now >= job.deadline {
            return self.refuse(Refusal::Late);
        }
        let candidates = self.candidates(job, now);
        if candidates.is_empty() {
            // One that pauses for a moment takes requests again before the wait is over.
            return match self.has_pausing_endpoint(job) {
                true => self.wait_or_refuse(job, Refusal::NoEndpoint, now),
                false => self.refuse(Refusal::NoEndpoint),
            };
        }
        let best = |fits: fn(&Candidate) -> bool| {
            let fitting = candidates.iter().filter(|c| fits(c));
            fitting.min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
        };
        let chosen = best(|c| c.meets_objective);
        // One that is late in any case takes what room is left.
        let late = job.was_refused
            || now.saturating_duration_since(job.requested_at) > job.latency_objective;
        let chosen = chosen.or_else(|| if late { best(|c| c.has_late_capacity) } else { None });
        match chosen {
            Some(candidate) => {
                let (key, expected) = (candidate.key, candidate.expected_ms);
                self.send(key, job, expected, now)
            }
            None => self.wait_or_refuse(job, Refusal::Overload, now),
        }
    }

    fn send(
        &mut self,
        key: EndpointKey,
        job: &PendingRequest,
        expected: f64,
        now: Instant,
    ) -> Decision {
        let prompt = job.size.map_or(0.0, |size| size.prompt_tokens);
        let request = InFlightRequest {
            prompt_tokens: prompt,
            sent_at: now,
            expected_ms: expected,
            first_event_received: false,
        };
        let flight = self.endpoints[key].in_flight.insert(request);
        let expected = Duration::from_secs_f64(expected.max(0.0) / 1e3);
        Decision::Send { endpoint: key, in_flight: flight, expected }
    }

    /// Lets a request wait while that may help.
    fn wait_or_refuse(&mut self, job: &PendingRequest, reason: Refusal, now: Instant) -> Decision {
        let waited = now.saturating_duration_since(job.arrived_at);
        let full = self.waiting.len() >= self.settings.max_waiting;
        if full || waited >= job.latency_objective.mul_f64(self.settings.max_wait_fraction) {
            return self.refuse(reason);
        }
        Decision::Wait
    }

    fn refuse(&self, reason: Refusal) -> Decision {
        let DispatchSettings {
            min_retry_after: least_retry_after,
            max_retry_after: most_retry_after,
            ..
        } = self.settings;
        // The more wait, the later there is room.
        let spread = 1.0 + self.waiting.len() as f64 / RETRY_AFTER_SCALE;
        let wait = match reason {
            Refusal::NoEndpoint => most_retry_after,
            Refusal::Overload | Refusal::Late => least_retry_after.mul_f64(spread),
        };
        Decision::Refuse { reason, retry_after: wait.min(most_retry_after) }
    }

    fn candidates(&self, job: &PendingRequest, now: Instant) -> Vec<Candidate> {
        let usable = self.endpoints.iter().filter(|(key, known)| {
            known.listed.service == job.service
                && !job.tried.contains(key)
                && self.is_usable(known, now)
        });
        usable.map(|(key, known)| self.candidate(key, known, job, now)).collect()
    }

    /// Whether an endpoint that was not tried is only pausing.
    fn has_pausing_endpoint(&self, job: &PendingRequest) -> bool {
        let mut of_service = self
            .endpoints
            .iter()
            .filter(|(key, known)| known.listed.service == job.service && !job.tried.contains(key));
        of_service.any(|(_, known)| known.is_listed_ready() && known.health.is_pausing())
    }

    fn is_usable(&self, known: &TrackedEndpoint, now: Instant) -> bool {
        if !known.is_listed_ready() || !known.health.is_available(now) {
            return false;
        }
        if !self.engine_models.contains_key(&known.listed.service) {
            return true;
        }
        let life = self.settings.max_report_age;
        if known.fresh_report(life, now).is_some_and(|news| !news.serving) {
            return false;
        }
        match (known.version(life, now), self.required_version(&known.listed.service, now)) {
            (None, _) => false,
            (Some(version), Some(required)) => version >= required,
            (Some(_), None) => true,
        }
    }

    fn candidate(
        &self,
        key: EndpointKey,
        known: &TrackedEndpoint,
        job: &PendingRequest,
        now: Instant,
    ) -> Candidate {
        let near = self.distance_cost_ms(&known.listed.zone);
        let waited = now.saturating_duration_since(job.requested_at).as_secs_f64() * 1e3;
        let budget = job.latency_objective.as_secs_f64() * 1e3 * self.settings.objective_fraction
            - self.settings.caller_round_trip.as_secs_f64() * 1e3
            - waited;
        let bias = self.biases.get(&job.service).copied().unwrap_or_default().correction_ms();
        let life = self.settings.max_report_age;
        let shared = known.fresh_report(life, now).is_some_and(|news| !news.is_preferred);
        let shared = if shared { self.shared_cost_ms(near) } else { 0.0 };
        let against = near + shared + known.health.failure_rate() * FAILURE_COST_MS;
        let Some(model) = self.engine_models.get(&job.service) else {
            return self.plain_candidate(key, known, against);
        };
        let load = known.load(model, life, now);
        let prompt = job.size.map_or(model.mean_prompt_tokens(), |size| size.prompt_tokens);
        let expected = model.time_to_first_event_ms(&load, prompt);
        let pass = model.next_pass_ms(&load, prompt);
        let gap = job.max_event_gap.map_or(f64::INFINITY, |gap| gap.as_secs_f64() * 1e3);
        // A prompt that alone takes longer than a pause may last has to be read all the same.
        let harmless =
            load.awaiting_prefill == 0.0 || pass <= gap * self.settings.event_gap_fraction;
        let slots = f64::from(model.slots());
        let total = known.total_in_flight();
        let part = if job.is_resumed { 1.0 } else { self.settings.late_slot_fraction };
        let again = if job.is_resumed { self.reload_cost_ms(known, now) } else { 0.0 };
        Candidate {
            key,
            expected_ms: expected,
            cost_ms: expected + against + again,
            meets_objective: harmless && expected + bias <= budget,
            has_late_capacity: harmless && total < slots * part,
        }
    }

    /// What speaks against an endpoint that is to load other weights soon and breaks off what runs there.
    /// The last endpoints of a zone by address end it instead.
    fn reload_cost_ms(&self, known: &TrackedEndpoint, now: Instant) -> f64 {
        if !self.will_load(known, now) {
            return 0.0;
        }
        let (service, zone) = (&known.listed.service, &known.listed.zone);
        let near = |other: &&TrackedEndpoint| {
            other.listed.service == *service && other.listed.zone == *zone
        };
        let all = self.endpoints.values().filter(near);
        let breaks = known
            .ip()
            .is_some_and(|ip| interrupts_on_load(ip, all.filter_map(TrackedEndpoint::ip)));
        if breaks { RELOAD_COST_MS } else { 0.0 }
    }

    /// Whether an endpoint serves older weights than were named, so that it is to load soon.
    fn will_load(&self, known: &TrackedEndpoint, now: Instant) -> bool {
        let required = self.version_requirements.get(&known.listed.service);
        let newest = required.and_then(|all| all.iter().map(|r| r.version).max());
        known.version(self.settings.max_report_age, now) < newest
    }

    fn plain_candidate(
        &self,
        key: EndpointKey,
        known: &TrackedEndpoint,
        against: f64,
    ) -> Candidate {
        let slots = f64::from(known.listed.slots.max(1));
        let total = known.total_in_flight();
        let rounds = (total + 1.0) / slots;
        let expected = DEFAULT_PLAIN_MS * rounds.max(1.0);
        let free = total < slots;
        Candidate {
            key,
            expected_ms: expected,
            cost_ms: DEFAULT_PLAIN_MS * rounds + against,
            meets_objective: free,
            has_late_capacity: free,
        }
    }

    /// What speaks against an endpoint that other entries send requests to first, drawn anew each time,
    /// as entries that see the same old report would all choose the same endpoint. Reports from other
    /// zones are older.
    fn shared_cost_ms(&self, distance: f64) -> f64 {
        let usual = self.settings.shared_cost.as_secs_f64() * 1e3;
        let most = if distance > 0.0 {
            REMOTE_SHARED_COST_FACTOR * usual
        } else {
            LOCAL_SHARED_COST_FACTOR * usual
        };
        self.rng.borrow_mut().f64() * most
    }

    fn distance_cost_ms(&self, zone: &Zone) -> f64 {
        let DispatchSettings { cross_zone_cost: zone_cost, cross_region_cost: region_cost, .. } =
            self.settings;
        if *zone == self.zone {
            return 0.0;
        }
        let same_region = self.regions.get(zone) == self.regions.get(&self.zone);
        let region = if same_region { Duration::ZERO } else { region_cost };
        (zone_cost + region).as_secs_f64() * 1e3
    }
}
