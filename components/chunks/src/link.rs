//! The rate limit of a VM's link, in and out together.

use std::time::{Duration, Instant};

use base::{ByteRate, ByteSize};

/// Longest burst that an idle link has saved up.
const MAX_BURST: Duration = Duration::from_millis(50);

/// Reserves time on a link.
#[derive(Debug)]
pub struct Link {
    rate: ByteRate,
    /// When all that is reserved has passed; may lie at most `MAX_BURST` in the past.
    free_at: Option<Instant>,
}

impl Link {
    /// A link of the given rate.
    pub fn new(rate: ByteRate) -> Link {
        Link { rate, free_at: None }
    }

    /// Reserves `size` bytes; returns how long to wait before they may pass.
    pub fn reserve(&mut self, size: ByteSize, now: Instant) -> Duration {
        let earliest = now.checked_sub(MAX_BURST).unwrap_or(now);
        let start = self.free_at.map_or(earliest, |at| at.max(earliest));
        let end = start + self.rate.time_for(size);
        self.free_at = Some(end);
        end.saturating_duration_since(now)
    }
}

#[cfg(test)]
mod tests;
