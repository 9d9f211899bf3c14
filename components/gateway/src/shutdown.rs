//! Decides which requests a process that shuts down still sends to endpoints, and when they are answered.

use std::{
    future::pending,
    time::{Duration, Instant},
};

use tokio::time::sleep_until;

use crate::{
    request::RequestContext,
    state::{Gateway, now},
};

/// Time after SIGTERM from which requests are refused. While the load balancer has too few other
/// gateways in rotation, it keeps sending requests, and one accepted later might not finish within the
/// grace period.
const REFUSE_AFTER: Duration = Duration::from_millis(2800);
/// Fraction of the grace period after which requests are refused in any case.
const REFUSE_FRACTION: f64 = 0.35;

/// Time in which the last responses are written.
const WRITE_TIME: Duration = Duration::from_millis(200);

/// Times of a process that shuts down.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Shutdown {
    /// Time from which requests are refused that no endpoint can have begun.
    refuse_from: Instant,
    /// Time at which the requests in progress are given up, so that their callers get an answer before the end.
    answer_by: Instant,
    /// Time by which the process ends, whatever is in progress.
    end: Instant,
}

/// How far a shutdown is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ShutdownStage {
    /// All requests are served.
    Serving,
    /// Requests that no endpoint can have begun are refused.
    Refusing,
    /// Requests in progress are given up.
    GivingUp,
}

impl Shutdown {
    /// Creates the state of a process that received SIGTERM at `since` and ends `margin` before the grace
    /// period is over.
    pub(crate) fn new(since: Instant, grace: Duration, margin: Duration) -> Shutdown {
        let time = grace.saturating_sub(margin);
        Shutdown {
            refuse_from: since + REFUSE_AFTER.min(grace.mul_f64(REFUSE_FRACTION)),
            answer_by: since + time.saturating_sub(WRITE_TIME),
            end: since + time,
        }
    }

    /// The same shutdown, in which requests are refused from `now` on.
    pub(crate) fn refusing_all(self, now: Instant) -> Shutdown {
        Shutdown { refuse_from: self.refuse_from.min(now), ..self }
    }

    /// Returns how far the shutdown is at `now`.
    pub(crate) fn stage(self, now: Instant) -> ShutdownStage {
        if now >= self.answer_by {
            ShutdownStage::GivingUp
        } else if now >= self.refuse_from {
            ShutdownStage::Refusing
        } else {
            ShutdownStage::Serving
        }
    }

    /// Time by which the process ends.
    pub(crate) fn end(self) -> Instant {
        self.end
    }
}

impl Gateway {
    /// How far the process's shutdown is.
    pub(crate) fn shutdown_stage(&self) -> ShutdownStage {
        self.stopping.get().map_or(ShutdownStage::Serving, |shutdown| shutdown.stage(now()))
    }

    /// Waits until the process's shutdown has reached a stage.
    pub(crate) async fn reached(&self, stage: ShutdownStage) {
        while self.shutdown_stage() < stage {
            self.stage_reached.notified().await;
        }
    }

    /// Returns the time by which a request must be answered: its deadline, or earlier if the process shuts
    /// down.
    pub(crate) fn deadline(&self, context: &RequestContext) -> Instant {
        let shutdown = self.stopping.get();
        shutdown.map_or(context.deadline, |shutdown| shutdown.answer_by.min(context.deadline))
    }

    /// Wakes the requests in progress at each stage of a shutdown, until it is dropped.
    pub(crate) async fn announce_stages(&self, shutdown: Shutdown) {
        let mut stages = [shutdown.refuse_from, shutdown.answer_by];
        stages.sort();
        for stage in stages {
            sleep_until(stage.into()).await;
            self.stage_reached.notify_waiters();
        }
        pending().await
    }
}

#[cfg(test)]
mod tests;
