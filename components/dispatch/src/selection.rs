//! Endpoint selection: which endpoint suits a request best, and whether the request should wait or
//! be refused instead.

use std::time::Instant;

use crate::{
    Decision, EndpointKey, InFlightRequest, PendingRequest, Refusal, candidate::Candidate,
    state::Dispatcher,
};

impl Dispatcher {
    pub(crate) fn decide(&mut self, request: &PendingRequest, now: Instant) -> Decision {
        if now >= request.deadline {
            return self.refuse(Refusal::Late);
        }
        if self.is_too_large(request) {
            return self.refuse(Refusal::TooLarge);
        }
        let candidates = self.weigh(request, now);
        let late = request.is_late(now);
        let fits = |c: &&Candidate| c.fits(late);
        if candidates.is_empty() {
            return self.wait_for_return(request, now);
        }
        let best = |needs_token: bool| {
            let fitting = candidates.iter().filter(|c| fits(c) && (c.has_token || !needs_token));
            // One that meets the objective comes before one that has late capacity only.
            fitting.min_by(|a, b| {
                b.meets_objective.cmp(&a.meets_objective).then(a.cost_ms.total_cmp(&b.cost_ms))
            })
        };
        let wanted = best(false).filter(|c| !c.has_token).map(|c| c.key);
        if let Some(candidate) = best(true) {
            self.record_wanted(wanted, now);
            return self.send(candidate, request, now);
        }
        let limited = candidates.iter().filter(|c| fits(c)).map(|c| c.key);
        let limited: Vec<EndpointKey> = limited.collect();
        self.record_wanted(limited.iter().copied(), now);
        match candidates.iter().any(|c| c.has_token) || limited.is_empty() {
            true => self.wait_or_refuse(request, Refusal::Overload, now),
            false => self.wait_or_refuse_limited(request, &limited, now),
        }
    }

    /// The endpoints among which is chosen: those that a request may be sent to and, if none of them fits,
    /// those with older weights than required.
    pub(crate) fn weigh(&mut self, request: &PendingRequest, now: Instant) -> Vec<Candidate> {
        self.refill_limits(&request.service, now);
        let mut candidates = self.candidates(request, now);
        self.apply_zone_exit(request, &mut candidates, now);
        let late = request.is_late(now);
        if !candidates.iter().any(|c| c.fits(late)) {
            candidates.extend(self.outdated_candidates(request, now));
        }
        candidates
    }

    fn send(&mut self, candidate: &Candidate, request: &PendingRequest, now: Instant) -> Decision {
        let (key, expected_ms) = (candidate.key, candidate.expected_ms);
        self.record_sent(request, now);
        self.take_token(key, now);
        self.record_cold_send(key, now);
        let has_claim = self.endpoints[key].take_claim();
        let prompt_tokens = request.size.map_or(0.0, |size| size.prompt_tokens);
        let model = self.engine_models.get(&request.service);
        let cache_tokens = model.map_or(0.0, |model| model.expected_tokens(request.size));
        let in_flight = InFlightRequest {
            prompt_tokens,
            cache_tokens,
            has_claim,
            relation: self.relation(&self.endpoints[key], now),
            sent_at: now,
            due: request.requested_at + request.latency_objective,
            expected_ms,
            first_event_received: false,
            is_silent: false,
        };
        let in_flight = self.endpoints[key].in_flight.insert(in_flight);
        Decision::Send { endpoint: key, in_flight, expected: candidate.expected() }
    }

    pub(crate) fn candidates(&self, request: &PendingRequest, now: Instant) -> Vec<Candidate> {
        let terms = self.terms(request, now);
        let eligible = self.eligible(request, now);
        let candidate = |(key, tracked)| self.candidate(key, tracked, request, &terms, now);
        eligible.into_iter().map(candidate).collect()
    }
}

impl Candidate {
    /// Whether a request can be sent there; `late` if it misses its objective in any case and may use the
    /// capacity that is left.
    fn fits(&self, late: bool) -> bool {
        self.meets_objective || late && self.has_late_capacity
    }
}

impl PendingRequest {
    /// Whether the request misses its objective in any case.
    fn is_late(&self, now: Instant) -> bool {
        self.was_refused
            || now.saturating_duration_since(self.requested_at) > self.latency_objective
    }
}
