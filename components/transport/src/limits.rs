//! Time limits of calls, and how far the response has arrived.

use std::{cell::Cell, rc::Rc, time::Duration};

use tokio::time::Instant;

/// Bytes of a body that count as progress.
const PROGRESS_BYTES: usize = 16 << 10;

/// Time limits of a call.
#[derive(Debug, Clone)]
pub struct CallLimits {
    /// Until when the response must have begun.
    pub begin: Instant,
    /// When its body counts as lost.
    pub body: BodyLimit,
}

/// When the body of a response counts as lost.
#[derive(Debug, Clone)]
pub enum BodyLimit {
    /// If it is not complete by then.
    Until(Instant),
    /// If neither its end nor `PROGRESS_BYTES` more of it arrive within a time, however long all of it
    /// takes.
    Stalled {
        /// The time.
        within: Duration,
        /// Where progress is recorded.
        progress: ReceiveProgress,
    },
}

impl CallLimits {
    /// The response must begin within `begin`, and its body make progress within each `stall`.
    pub fn stalled(begin: Duration, stall: Duration, progress: ReceiveProgress) -> CallLimits {
        CallLimits {
            begin: Instant::now() + begin,
            body: BodyLimit::Stalled { within: stall, progress },
        }
    }
}

impl From<Instant> for CallLimits {
    /// The whole response must have arrived by a time.
    fn from(until: Instant) -> CallLimits {
        CallLimits { begin: until, body: BodyLimit::Until(until) }
    }
}

/// When a large response last made progress. Clones share it.
#[derive(Debug, Clone, Default)]
pub struct ReceiveProgress(Rc<Cell<Option<Instant>>>);

impl ReceiveProgress {
    /// When the last `PROGRESS_BYTES` were complete.
    pub fn last(&self) -> Option<Instant> {
        self.0.get()
    }
}

/// Decides until when to wait for the next part of a body.
#[derive(Debug)]
pub(crate) struct BodyDeadline {
    limit: BodyLimit,
    due: Instant,
    /// Bytes since the last progress.
    received: usize,
}

impl BodyDeadline {
    /// Starts as the response has begun.
    pub(crate) fn new(limit: BodyLimit, now: Instant) -> BodyDeadline {
        let due = match limit {
            BodyLimit::Until(until) => until,
            BodyLimit::Stalled { within, .. } => now + within,
        };
        BodyDeadline { limit, due, received: 0 }
    }

    /// Until when the next part must arrive.
    pub(crate) fn due(&self) -> Instant {
        self.due
    }

    /// Records that a part arrived.
    pub(crate) fn record(&mut self, bytes: usize, now: Instant) {
        let BodyLimit::Stalled { within, progress } = &self.limit else { return };
        self.received += bytes;
        if self.received >= PROGRESS_BYTES {
            self.received = 0;
            self.due = now + *within;
            progress.0.set(Some(now));
        }
    }
}

#[cfg(test)]
mod tests;
