//! Requests that no endpoint can take now: which wait, and which are refused until when.

use std::time::{Duration, Instant};

use crate::{
    Decision, DispatchSettings, EndpointKey, Exclusion, PendingRequest, Refusal, RequestKey,
    state::Dispatcher,
};

/// Number of waiting requests that lengthens the retry-after time by its minimum once more.
const RETRY_AFTER_SCALE: f64 = 16.0;

impl Dispatcher {
    /// Lets a request wait for a token of a limited endpoint, if it will get one in time.
    pub(crate) fn wait_or_refuse_limited(
        &self,
        request: &PendingRequest,
        limited: &[EndpointKey],
        now: Instant,
    ) -> Decision {
        let waited = now.saturating_duration_since(request.arrived_at);
        let max_wait = request.latency_objective.mul_f64(self.settings.max_wait_fraction);
        let left = max_wait.saturating_sub(waited);
        let ahead = self.waiting_ahead(request) as f64;
        if self.tokens_within(limited, left, now) >= ahead + 1.0 {
            return self.wait_or_refuse(request, Refusal::Limited, now);
        }
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        let in_time = |time: &Duration| self.tokens_within(limited, *time, now) >= ahead + 1.0;
        let steps = (1..).map(|n| min_retry_after * n).take_while(|time| *time < max_retry_after);
        let retry_after = steps.into_iter().find(in_time).unwrap_or(max_retry_after);
        Decision::Refuse { reason: Refusal::Limited, retry_after }
    }

    /// Lets a request wait for an endpoint that takes none for a moment, or not this one until others have
    /// ended, unless that moment is longer than the request may wait.
    pub(crate) fn wait_for_return(&self, request: &PendingRequest, now: Instant) -> Decision {
        if self.lacks_only_memory(request, now) {
            return self.wait_or_refuse(request, Refusal::Overload, now);
        }
        let max_wait = request.latency_objective.mul_f64(self.settings.max_wait_fraction);
        let wait_until = now.max(request.arrived_at + max_wait);
        match self.earliest_return(request, now) {
            Some(at) if at <= wait_until => self.wait_or_refuse(request, Refusal::NoEndpoint, now),
            _ if self.may_get_cold_slot(request, wait_until - now, now) => {
                self.wait_or_refuse(request, Refusal::Cold, now)
            }
            Some(_) => {
                let backoff = self.service_backoff(&request.service, &request.homes, now);
                let retry_after = backoff.unwrap_or(self.settings.max_retry_after);
                Decision::Refuse { reason: Refusal::Backoff, retry_after }
            }
            None => self.refuse_excluded(request, now),
        }
    }

    /// Whether a request will be sent to a cold endpoint within a time, after those that wait already.
    fn may_get_cold_slot(&self, request: &PendingRequest, time: Duration, now: Instant) -> bool {
        let slots = self.cold_slots_within(request, time, now);
        slots > 0 && slots > self.waiting_ahead(request)
    }

    /// Number of waiting requests of the same service that were decided before.
    fn waiting_ahead(&self, request: &PendingRequest) -> usize {
        let of_service = |key: &&RequestKey| {
            self.pending.get(**key).is_some_and(|pending| pending.service == request.service)
        };
        self.waiting.iter().filter(of_service).count()
    }

    /// Refuses a request that no endpoint may get soon, and tells why.
    fn refuse_excluded(&self, request: &PendingRequest, now: Instant) -> Decision {
        let excluded: Vec<Exclusion> = self.exclusions(request, now).map(|(_, why)| why).collect();
        if excluded.contains(&Exclusion::Cold) {
            return self.refuse_cold(request, now);
        }
        let may_pass = excluded.iter().any(|why| why.may_pass_soon());
        if excluded.contains(&Exclusion::Evacuated) && !may_pass {
            let retry_after = self.settings.evacuation_retry;
            return Decision::Refuse { reason: Refusal::Evacuated, retry_after };
        }
        if !excluded.contains(&Exclusion::Home) {
            return self.refuse(Refusal::NoEndpoint);
        }
        match self.regions.values().any(|region| request.homes.allow(Some(region))) {
            true => self.refuse(Refusal::NoHome),
            // Only another configuration lets the request be served.
            false => {
                let retry_after = self.settings.max_backoff_retry;
                Decision::Refuse { reason: Refusal::NoHome, retry_after }
            }
        }
    }

    /// Refuses a request that only cold endpoints could take, until one of them accepts another.
    fn refuse_cold(&self, request: &PendingRequest, now: Instant) -> Decision {
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        let next = self.next_cold_slot(request, now);
        let time = next.map_or(max_retry_after, |at| at.saturating_duration_since(now));
        let retry_after = time.clamp(min_retry_after, max_retry_after);
        Decision::Refuse { reason: Refusal::Cold, retry_after }
    }

    /// Lets a request wait, unless it has waited too long or too many requests are waiting.
    pub(crate) fn wait_or_refuse(
        &self,
        request: &PendingRequest,
        reason: Refusal,
        now: Instant,
    ) -> Decision {
        let waited = now.saturating_duration_since(request.arrived_at);
        if self.is_queue_full(request)
            || waited >= request.latency_objective.mul_f64(self.settings.max_wait_fraction)
        {
            return self.refuse(reason);
        }
        Decision::Wait
    }

    /// Whether as many requests as may wait are waiting that come before this one or are as urgent. Less
    /// urgent ones give way: they are refused when they are decided again, as they come last.
    fn is_queue_full(&self, request: &PendingRequest) -> bool {
        let max = self.settings.max_waiting;
        let comes_before = |key: &&RequestKey| {
            self.pending.get(**key).is_some_and(|pending| pending.rank <= request.rank)
        };
        self.waiting.len() >= max && self.waiting.iter().filter(comes_before).count() >= max
    }

    pub(crate) fn refuse(&self, reason: Refusal) -> Decision {
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        // The more requests are waiting, the later there is capacity.
        let factor = 1.0 + self.waiting.len() as f64 / RETRY_AFTER_SCALE;
        let wait = match reason {
            Refusal::NoEndpoint
            | Refusal::NoHome
            | Refusal::Evacuated
            | Refusal::Cold
            | Refusal::TooLarge => max_retry_after,
            Refusal::Overload | Refusal::Backoff | Refusal::Limited | Refusal::Late => {
                min_retry_after.mul_f64(factor)
            }
        };
        Decision::Refuse { reason, retry_after: wait.min(max_retry_after) }
    }
}
