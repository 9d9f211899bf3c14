//! Breaker and slow start of one endpoint.

use std::time::{Duration, Instant};

/// Bounds of breakers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HealthSettings {
    /// Time that an endpoint stays out after a failure; doubles with each further one.
    pub cooldown: Duration,
    /// Longest time that it stays out.
    pub max_cooldown: Duration,
    /// Time until a new or returning endpoint gets its full part.
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

/// Lowest part of a full load that an endpoint gets while it warms up.
const MIN_WARM_UP_FACTOR: f64 = 0.1;

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointOutcome {
    /// It answered, or the caller left.
    Succeeded,
    /// It had no free slot.
    Full,
    /// It did not take the attempt, for another reason.
    Refused,
    /// It failed with the attempt.
    Failed,
}

/// Health of one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Health {
    /// Failures since the last answer.
    failures: u32,
    /// It gets nothing before.
    unavailable_until: Instant,
    /// Since when it may get work.
    warm_up_start: Instant,
    /// One attempt at a time until one is answered.
    is_probing: bool,
}

impl Health {
    /// An endpoint that begins to warm up now.
    pub fn new(now: Instant) -> Health {
        Health { failures: 0, unavailable_until: now, warm_up_start: now, is_probing: false }
    }

    /// It serves something else now, or its agent started again.
    pub fn restart_warm_up(&mut self, now: Instant) {
        self.warm_up_start = now.max(self.unavailable_until);
    }

    /// Takes in the end of an attempt.
    pub fn record_result(&mut self, end: EndpointOutcome, settings: &HealthSettings, now: Instant) {
        match end {
            EndpointOutcome::Full => {}
            EndpointOutcome::Succeeded => {
                if self.is_probing {
                    self.warm_up_start = now;
                }
                self.failures = 0;
                self.is_probing = false;
            }
            EndpointOutcome::Refused | EndpointOutcome::Failed => {
                // Attempts that were under way when it failed tell nothing new.
                if now < self.unavailable_until {
                    return;
                }
                let factor = 2u32.saturating_pow(self.failures.min(16));
                let out = settings.cooldown.saturating_mul(factor).min(settings.max_cooldown);
                self.failures += 1;
                // One refusal may be due to news that is late; the agent is asked before the next.
                let lenient = end == EndpointOutcome::Refused && self.failures == 1;
                if !lenient {
                    self.unavailable_until = now + out;
                    self.warm_up_start = self.unavailable_until;
                    self.is_probing = true;
                }
            }
        }
    }

    /// Whether it may get work, with `in_flight` attempts there.
    pub fn is_available(&self, in_flight: u32, now: Instant) -> bool {
        now >= self.unavailable_until && !(self.is_probing && in_flight > 0)
    }

    /// The part of a full load that it may get, above 0 and at most 1.
    pub fn warm_up_factor(&self, settings: &HealthSettings, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.warm_up_start).as_secs_f64();
        (passed / settings.warm_up.as_secs_f64().max(1e-9)).clamp(MIN_WARM_UP_FACTOR, 1.0)
    }
}
