//! The retry budget: retries are limited to a fraction of the successes.

use std::time::Duration;

use fastrand::Rng;

/// Limits of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries earned by each success.
    pub ratio: f64,
    /// Maximum number of retries that can be saved up.
    pub burst: f64,
    /// First backoff; doubles with each retry of a request.
    pub backoff: Duration,
    /// Maximum backoff.
    pub max_backoff: Duration,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            ratio: 0.1,
            burst: 20.0,
            backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// The retries that this process may still make.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Saved retries, between 0 and `settings.burst`.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, tokens: settings.burst }
    }

    /// Records that a request succeeded.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.settings.ratio).min(self.settings.burst);
    }

    /// Takes one retry, the `nth` of its request; returns the backoff before it, with jitter, or
    /// `None` if the budget is used up.
    pub fn try_take(&mut self, nth: u32, rng: &mut Rng) -> Option<Duration> {
        if self.tokens < 1.0 {
            return None;
        }
        self.tokens -= 1.0;
        let backoff = self.settings.backoff * 2u32.saturating_pow(nth.min(16));
        Some(backoff.min(self.settings.max_backoff).mul_f64(0.5 + rng.f64() / 2.0))
    }
}

#[cfg(test)]
mod tests;
