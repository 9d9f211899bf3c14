//! Circuit breaker and slow start of one endpoint.

use std::time::{Duration, Instant};

/// Settings of circuit breakers and slow start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// Time that an endpoint gets no requests after a failure; doubles with each further failure.
    pub cooldown: Duration,
    /// Maximum cooldown.
    pub max_cooldown: Duration,
    /// Time until a new or recovered endpoint gets its full share of requests.
    pub warm_up: Duration,
}

impl Default for HealthSettings {
    fn default() -> HealthSettings {
        HealthSettings {
            cooldown: Duration::from_secs(1),
            max_cooldown: Duration::from_secs(30),
            warm_up: Duration::from_secs(3),
        }
    }
}

/// Lowest fraction of the full load that an endpoint gets while it warms up.
const MIN_WARM_UP_FACTOR: f64 = 0.1;

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// The endpoint answered, or the caller disconnected.
    Succeeded,
    /// The endpoint had no free slot.
    Full,
    /// The endpoint refused the attempt for another reason.
    Refused,
    /// The endpoint failed while it ran the attempt.
    Failed,
}

/// Health of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last answer.
    failures: u32,
    /// The endpoint gets no requests before this time.
    unavailable_until: Instant,
    /// When the warm-up started.
    warm_up_start: Instant,
    /// Whether the endpoint gets only one attempt at a time, until one is answered.
    is_probing: bool,
}

impl Health {
    /// Health of an endpoint whose warm-up starts now.
    pub fn new(now: Instant) -> Health {
        Health { failures: 0, unavailable_until: now, warm_up_start: now, is_probing: false }
    }

    /// Restarts the warm-up: the endpoint serves something else now, or its agent restarted.
    pub fn restart_warm_up(&mut self, now: Instant) {
        self.warm_up_start = now.max(self.unavailable_until);
    }

    /// Records the result of an attempt.
    pub fn record_result(
        &mut self,
        outcome: EndpointOutcome,
        settings: &HealthSettings,
        now: Instant,
    ) {
        match outcome {
            EndpointOutcome::Full => {}
            EndpointOutcome::Succeeded => {
                if self.is_probing {
                    self.warm_up_start = now;
                }
                self.failures = 0;
                self.is_probing = false;
            }
            EndpointOutcome::Refused | EndpointOutcome::Failed => {
                // Attempts that were already in progress when the endpoint failed carry no new
                // information.
                if now < self.unavailable_until {
                    return;
                }
                let factor = 2u32.saturating_pow(self.failures.min(16));
                let cooldown = settings.cooldown.saturating_mul(factor).min(settings.max_cooldown);
                self.failures += 1;
                // A single refusal may be caused by outdated state; the agent is queried before the
                // next attempt.
                let tolerated = outcome == EndpointOutcome::Refused && self.failures == 1;
                if !tolerated {
                    self.unavailable_until = now + cooldown;
                    self.warm_up_start = self.unavailable_until;
                    self.is_probing = true;
                }
            }
        }
    }

    /// Whether the endpoint may get another request while `in_flight` attempts are in progress
    /// there.
    pub fn is_available(&self, in_flight: u32, now: Instant) -> bool {
        now >= self.unavailable_until && !(self.is_probing && in_flight > 0)
    }

    /// Fraction of the full load that the endpoint may get, above 0 and at most 1.
    pub fn warm_up_factor(&self, settings: &HealthSettings, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.warm_up_start).as_secs_f64();
        (elapsed / settings.warm_up.as_secs_f64().max(1e-9)).clamp(MIN_WARM_UP_FACTOR, 1.0)
    }
}
