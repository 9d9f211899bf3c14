//! Endpoint selection: which endpoint suits a request best, and whether the request should wait or
//! be refused instead.

use std::time::{Duration, Instant};

use crate::{
    Decision, EndpointKey, InFlightRequest, PendingRequest, Refusal, candidate::Candidate,
    state::Dispatcher,
};

/// Maximum predicted time until the first event; figures of an engine may predict any number.
const MAX_EXPECTED: Duration = Duration::from_secs(3600);

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
        let mut candidates = self.candidates(request, now);
        self.apply_zone_exit(request, &mut candidates, now);
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
            due: request.requested_at + request.latency_objective,
            expected_ms,
            first_event_received: false,
            is_silent: false,
        };
        self.take_token(key, now);
        let in_flight = self.endpoints[key].in_flight.insert(in_flight);
        let expected = predicted_time(expected_ms);
        Decision::Send { endpoint: key, in_flight, expected }
    }

    fn candidates(&self, request: &PendingRequest, now: Instant) -> Vec<Candidate> {
        let eligible = self.eligible(request, now);
        eligible.map(|(key, tracked)| self.candidate(key, tracked, request, now)).collect()
    }
}
