//! Decides which requests a process that shuts down still sends to endpoints.

use std::{
    future::pending,
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::state::{Gateway, now};

/// Time after SIGTERM from which requests are refused. While the load balancer has too few other
/// gateways in rotation, it keeps sending requests, and one accepted later might not finish within the
/// grace period.
const REFUSE_AFTER: Duration = Duration::from_millis(2800);
/// Fraction of the grace period after which requests are refused in any case.
const REFUSE_FRACTION: f64 = 0.35;

/// Times of a process that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Time from which requests are refused that no endpoint can have begun.
    pub(crate) refuse_from: Instant,
}

impl Shutdown {
    /// Creates the state of a process that received SIGTERM at `since`.
    pub(crate) fn new(since: Instant, grace: Duration) -> Shutdown {
        Shutdown { refuse_from: since + REFUSE_AFTER.min(grace.mul_f64(REFUSE_FRACTION)) }
    }

    /// The same shutdown, in which requests are refused from `now` on.
    pub(crate) fn refusing_all(self, now: Instant) -> Shutdown {
        Shutdown { refuse_from: self.refuse_from.min(now) }
    }

    /// Returns whether a request is refused at `now` that no endpoint can have begun.
    pub(crate) fn refuses(self, now: Instant) -> bool {
        now >= self.refuse_from
    }
}

impl Gateway {
    /// Whether requests are refused that no endpoint can have begun.
    pub(crate) fn refuses_requests(&self) -> bool {
        self.stopping.get().is_some_and(|shutdown| shutdown.refuses(now()))
    }

    /// Waits until requests are refused that no endpoint can have begun.
    pub(crate) async fn refusing(&self) {
        while !self.refuses_requests() {
            self.stage_reached.notified().await;
        }
    }

    /// Wakes the requests in progress at each stage of a shutdown, until it is dropped.
    pub(crate) async fn announce_stages(&self, shutdown: Shutdown) {
        sleep_until(shutdown.refuse_from.into()).await;
        self.stage_reached.notify_waiters();
        pending().await
    }
}

#[cfg(test)]
mod tests;
