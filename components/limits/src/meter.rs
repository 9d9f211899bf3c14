//! The rate of events over the last seconds.

use std::time::{Duration, Instant};

/// Time after which an event counts for a third.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Counts events with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    count: f64,
    updated_at: Instant,
}

impl RateMeter {
    /// No event yet.
    pub fn new(now: Instant) -> RateMeter {
        RateMeter { count: 0.0, updated_at: now }
    }

    /// An event happened.
    pub fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Events a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.count * (-passed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
