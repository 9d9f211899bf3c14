//! The rate of events over the last seconds.

use std::time::{Duration, Instant};

/// Time after which an event counts for a third.
const MEMORY: Duration = Duration::from_secs(2);

/// Counts events with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    count: f64,
    at: Instant,
}

impl Meter {
    /// No event yet.
    pub fn new(now: Instant) -> Meter {
        Meter { count: 0.0, at: now }
    }

    /// An event happened.
    pub fn add(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.at = now;
    }

    /// Events a second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / MEMORY.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.count * (-passed / MEMORY.as_secs_f64()).exp()
    }
}
