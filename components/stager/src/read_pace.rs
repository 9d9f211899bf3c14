//! Decides how many staged pieces are read at the same time, so that all are read in time.

use std::time::{Duration, Instant};

/// Time in which all pieces are to be read. Pieces are read at the same time if that would take longer.
const READ_TIME: Duration = Duration::from_secs(1);
/// Time without the end of a read after which twice as many pieces are read at the same time.
const MAX_SILENCE: Duration = Duration::from_millis(250);
/// Maximum number of pieces that are read at the same time.
const MAX_READS: usize = 32;

/// How many of a number of reads run at the same time.
#[derive(Debug)]
pub(crate) struct ReadPace {
    total: usize,
    ended: usize,
    began_at: Instant,
    /// When a read ended, or the limit was last doubled.
    last_change: Instant,
    limit: usize,
}

impl ReadPace {
    /// Begins `total` reads, at first `limit` at the same time.
    pub(crate) fn new(total: usize, limit: usize, now: Instant) -> ReadPace {
        ReadPace { total, ended: 0, began_at: now, last_change: now, limit: limit.max(1) }
    }

    /// Number of pieces that may be read at the same time.
    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    /// Until when to wait for the end of a read.
    pub(crate) fn silent_at(&self) -> Instant {
        self.last_change + MAX_SILENCE
    }

    /// Records the end of a read.
    pub(crate) fn record_end(&mut self, now: Instant) {
        self.ended += 1;
        self.last_change = now;
        let due = READ_TIME.mul_f64(self.ended as f64 / self.total as f64);
        if now.saturating_duration_since(self.began_at) > due {
            self.raise_to(self.limit + 1);
        }
    }

    /// Records that no read has ended in time, while `waiting` ones have not begun.
    pub(crate) fn record_silence(&mut self, waiting: usize, now: Instant) {
        self.last_change = now;
        if waiting > 0 {
            self.raise_to(self.limit * 2);
        }
    }

    fn raise_to(&mut self, limit: usize) {
        self.limit = limit.min(MAX_READS);
    }

    /// Number of pieces with which the next reads begin: as many as now if these took too long.
    pub(crate) fn next_limit(&self, now: Instant) -> usize {
        let is_late = now.saturating_duration_since(self.began_at) > READ_TIME;
        if is_late { self.limit } else { 1 }
    }
}

#[cfg(test)]
mod tests;
