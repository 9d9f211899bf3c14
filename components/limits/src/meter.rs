//! Rate of events over the last seconds.

use std::time::{Duration, Instant};

/// Time constant of the decay: an event of this age counts for 1/e, about a third.
const TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Counts events with exponential decay.
#[derive(Debug, Clone, Copy)]
pub struct RateMeter {
    count: f64,
    updated_at: Instant,
}

impl RateMeter {
    /// Creates a meter without events.
    pub fn new(now: Instant) -> RateMeter {
        RateMeter { count: 0.0, updated_at: now }
    }

    /// Records an event.
    pub fn record(&mut self, now: Instant) {
        self.count = self.decayed(now) + 1.0;
        self.updated_at = now;
    }

    /// Events per second.
    pub fn rate(&self, now: Instant) -> f64 {
        self.decayed(now) / TIME_CONSTANT.as_secs_f64()
    }

    fn decayed(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.count * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp()
    }
}
