//! The attempts of one request whose endpoints have not answered yet.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::Poll,
    time::Instant,
};

use base::ServiceId;
use catalog::WeightsVersion;

use crate::{
    attempt::AttemptOutcome,
    attempt_plan::{AttemptNumber, Progress},
    state::{Gateway, InFlight, now},
};

/// An attempt whose endpoint has not answered yet. Dropping it closes its connection.
pub(crate) struct AttemptInProgress {
    pub(crate) number: AttemptNumber,
    pub(crate) in_flight: InFlight,
    pub(crate) future: Pin<Box<dyn Future<Output = AttemptOutcome>>>,
    /// Whether the head of a response that is not a stream has arrived.
    pub(crate) has_begun: Rc<Cell<bool>>,
    /// Version of the weights that the endpoint had to have, or had, when the request was sent.
    pub(crate) version: Option<WeightsVersion>,
}

/// Attempts that have not ended, the oldest first.
#[derive(Default)]
pub(crate) struct AttemptsInProgress(Vec<AttemptInProgress>);

impl AttemptsInProgress {
    pub(crate) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    pub(crate) fn push(&mut self, attempt: AttemptInProgress) {
        self.0.push(attempt);
    }

    /// Ends all attempts.
    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }

    /// The request at the endpoint that was asked last.
    pub(crate) fn newest(&self) -> Option<InFlight> {
        self.0.last().map(|attempt| attempt.in_flight)
    }

    /// How far the attempts are.
    pub(crate) fn progress(&self) -> Progress {
        if self.0.iter().any(|attempt| attempt.has_begun.get()) {
            Progress::Responding
        } else if self.is_empty() {
            Progress::Nothing
        } else {
            Progress::Waiting
        }
    }

    /// Waits until an attempt ends and removes it.
    pub(crate) async fn next_end(&mut self) -> (AttemptNumber, AttemptOutcome) {
        poll_fn(|cx| {
            for at in 0..self.0.len() {
                if let Poll::Ready(outcome) = self.0[at].future.as_mut().poll(cx) {
                    return Poll::Ready((self.0.remove(at).number, outcome));
                }
            }
            Poll::Pending
        })
        .await
    }

    /// Returns the earliest time from which an attempt may not begin any more.
    pub(crate) fn latest_start(&self, gateway: &Gateway, service: &ServiceId) -> Option<Instant> {
        self.0.iter().filter_map(|attempt| attempt.latest_start(gateway, service)).min()
    }

    /// Removes an attempt that may not begin any more.
    pub(crate) fn remove_outdated(
        &mut self,
        gateway: &Gateway,
        service: &ServiceId,
    ) -> Option<AttemptInProgress> {
        let is_outdated = |attempt: &AttemptInProgress| {
            attempt.latest_start(gateway, service).is_some_and(|latest| now() >= latest)
        };
        let at = self.0.iter().position(is_outdated)?;
        Some(self.0.remove(at))
    }
}

impl AttemptInProgress {
    /// Returns until when the attempt may begin; `None` if it has begun, or may begin at any time.
    fn latest_start(&self, gateway: &Gateway, service: &ServiceId) -> Option<Instant> {
        if self.has_begun.get() {
            return None;
        }
        // The endpoint may have loaded newer weights since the request was sent.
        let served = gateway.dispatcher.borrow().served_version(self.in_flight.endpoint, now());
        let version = self.version.max(served)?;
        let model = gateway.model_of(service)?;
        gateway.named_weights.borrow().latest_start(&model, version)
    }
}
