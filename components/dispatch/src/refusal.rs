//! Requests that no endpoint can take now: which wait, and which are refused until when.

use std::time::{Duration, Instant};

use crate::{
    Decision, DispatchSettings, EndpointKey, PendingRequest, Refusal, RequestKey, state::Dispatcher,
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
    /// Lets a request wait for an endpoint that takes none for a moment, or not this one until others have
    /// ended, unless that moment is longer than the request may wait.
    pub(crate) fn wait_for_return(&self, request: &PendingRequest, now: Instant) -> Decision {
        if self.lacks_only_memory(request, now) {
            return self.wait_or_refuse(request, Refusal::Overload, now);
        }
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
    pub(crate) fn wait_or_refuse(
        &self,
        request: &PendingRequest,
        reason: Refusal,
        now: Instant,
    ) -> Decision {
        let waited = now.saturating_duration_since(request.arrived_at);
        let full = self.waiting.len() >= self.settings.max_waiting;
        if full || waited >= request.latency_objective.mul_f64(self.settings.max_wait_fraction) {
            return self.refuse(reason);
        }
        Decision::Wait
    }

    pub(crate) fn refuse(&self, reason: Refusal) -> Decision {
        let DispatchSettings { min_retry_after, max_retry_after, .. } = self.settings;
        // The more requests are waiting, the later there is capacity.
        let factor = 1.0 + self.waiting.len() as f64 / RETRY_AFTER_SCALE;
        let wait = match reason {
            Refusal::NoEndpoint | Refusal::TooLarge => max_retry_after,
            Refusal::Overload | Refusal::Backoff | Refusal::Limited | Refusal::Late => {
                min_retry_after.mul_f64(factor)
            }
        };
        Decision::Refuse { reason, retry_after: wait.min(max_retry_after) }
    }
}
