//! Rate limiter of a VM's network link, for inbound and outbound traffic together.

use std::time::{Duration, Instant};

use base::{ByteRate, ByteSize};

/// Maximum burst that an idle link accumulates.
const MAX_BURST: Duration = Duration::from_millis(50);
/// Queued time above which the link counts as congested.
const MAX_QUEUE: Duration = Duration::from_millis(500);
/// Number of transfers that may always be queued, however long they take.
const MIN_QUEUED: u32 = 4;

/// Rate limiter that reserves time on a link.
#[derive(Debug)]
pub struct LinkLimiter {
    rate: ByteRate,
    /// End of the last reservation. A reservation starts at most `MAX_BURST` in the past.
    free_at: Option<Instant>,
}

impl LinkLimiter {
    /// Creates a limiter with the given rate.
    pub fn new(rate: ByteRate) -> LinkLimiter {
        LinkLimiter { rate, free_at: None }
    }

    /// Changes the rate; existing reservations keep theirs.
    pub fn set_rate(&mut self, rate: ByteRate) {
        self.rate = rate;
    }

    /// Reserves `size` bytes; returns how long to wait before transferring them.
    pub fn reserve(&mut self, size: ByteSize, now: Instant) -> Duration {
        let earliest = now.checked_sub(MAX_BURST).unwrap_or(now);
        let start = self.free_at.map_or(earliest, |at| at.max(earliest));
        let end = start + self.rate.time_for(size);
        self.free_at = Some(end);
        end.saturating_duration_since(now)
    }

    /// Whether so much is reserved that another `size` bytes should be fetched from elsewhere.
    pub fn is_congested(&self, size: ByteSize, now: Instant) -> bool {
        let bound = MAX_QUEUE.max(self.rate.time_for(size) * MIN_QUEUED);
        self.free_at.is_some_and(|at| at.saturating_duration_since(now) > bound)
    }
}

#[cfg(test)]
mod tests;
