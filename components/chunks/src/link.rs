//! The rate limit of a VM's link, in and out together.

use std::time::{Duration, Instant};

use base::{ByteRate, ByteSize};

/// Longest burst that an idle link has saved up.
const MAX_BURST: Duration = Duration::from_millis(50);
/// Longest queue before senders are sent elsewhere.
const MAX_QUEUE: Duration = Duration::from_millis(500);
/// Transfers that may always wait.
const MIN_QUEUED: u32 = 4;

/// Reserves time on a link.
#[derive(Debug)]
pub struct LinkLimiter {
    rate: ByteRate,
    /// When all that is reserved has passed; may lie at most `MAX_BURST` in the past.
    free_at: Option<Instant>,
}

impl LinkLimiter {
    /// A link of the given rate.
    pub fn new(rate: ByteRate) -> LinkLimiter {
        LinkLimiter { rate, free_at: None }
    }

    /// Changes the rate; what is reserved stays so.
    pub fn set_rate(&mut self, rate: ByteRate) {
        self.rate = rate;
    }

    /// Reserves `size` bytes; returns how long to wait before they may pass.
    pub fn reserve(&mut self, size: ByteSize, now: Instant) -> Duration {
        let earliest = now.checked_sub(MAX_BURST).unwrap_or(now);
        let start = self.free_at.map_or(earliest, |at| at.max(earliest));
        let end = start + self.rate.time_for(size);
        self.free_at = Some(end);
        end.saturating_duration_since(now)
    }

    /// Whether so much is reserved that another `size` bytes had better come from elsewhere.
    pub fn is_congested(&self, size: ByteSize, now: Instant) -> bool {
        let bound = MAX_QUEUE.max(self.rate.time_for(size) * MIN_QUEUED);
        self.free_at.is_some_and(|at| at.saturating_duration_since(now) > bound)
    }
}

#[cfg(test)]
mod tests;
