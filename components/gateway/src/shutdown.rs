//! Decides which requests a process that shuts down still accepts.

use std::time::{Duration, Instant};

/// Time after SIGTERM from which requests are refused. While the load balancer has too few other
/// gateways in rotation, it keeps sending requests, and one accepted later might not finish within the
/// grace period.
const REFUSE_AFTER: Duration = Duration::from_millis(2800);
/// Fraction of the grace period after which requests are refused in any case.
const REFUSE_FRACTION: f64 = 0.35;

/// Time from which a process that shuts down refuses requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shutdown {
    refuse_from: Instant,
}

impl Shutdown {
    /// Creates the state of a process that received SIGTERM at `since`.
    pub(crate) fn new(since: Instant, grace: Duration) -> Shutdown {
        Shutdown { refuse_from: since + REFUSE_AFTER.min(grace.mul_f64(REFUSE_FRACTION)) }
    }

    /// The same shutdown, in which all requests are refused from `now` on.
    pub(crate) fn refusing_all(self, now: Instant) -> Shutdown {
        Shutdown { refuse_from: self.refuse_from.min(now) }
    }

    /// Returns whether a request that arrives at `now` is refused.
    pub(crate) fn refuses(self, now: Instant) -> bool {
        now >= self.refuse_from
    }
}

#[cfg(test)]
mod tests;
