//! Which requests a process that stops still takes.

use std::time::{Duration, Instant};

/// Time after SIGTERM from which requests are refused. Callers still come while the balancer has too few
/// other processes in rotation, and a request taken later might not end within the grace period.
const REFUSE_AFTER: Duration = Duration::from_millis(2800);
/// Part of the grace period after which requests are refused in any case.
const REFUSE_FRACTION: f64 = 0.35;

/// When a process that stops refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shutdown {
    refuse_from: Instant,
}

impl Shutdown {
    /// A process that got SIGTERM at `since`.
    pub(crate) fn new(since: Instant, grace: Duration) -> Shutdown {
        Shutdown { refuse_from: since + REFUSE_AFTER.min(grace.mul_f64(REFUSE_FRACTION)) }
    }

    /// Whether a request is refused.
    pub(crate) fn refuses(self, now: Instant) -> bool {
        now >= self.refuse_from
    }
}

#[cfg(test)]
mod tests;
