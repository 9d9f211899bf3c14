//! Hedged requests: sends a request to another endpoint while those that are silent may still answer.

use std::{
    cell::Cell,
    future::{Future, poll_fn},
    pin::Pin,
    rc::Rc,
    task::Poll,
    time::{Duration, Instant},
};

use base::ServiceId;
use catalog::WeightsVersion;
use dispatch::EndpointView;
use metrics::counter;
use slog::info;
use telemetry::names;

use crate::{
    attempt::{AttemptOptions, AttemptOutcome, LossCause},
    attempt_plan::{AttemptLimits, AttemptNumber, AttemptPlan, NextStep, Progress},
    in_progress::{AttemptInProgress, AttemptsInProgress},
    request::RequestContext,
    serve::{AttemptHistory, REFUSED_RETRY_AFTER},
    shutdown::ShutdownStage,
    state::{AcquireResult, Assignment, Gateway, InFlight, now},
};

type AcquireFuture = Pin<Box<dyn Future<Output = AcquireResult>>>;

/// The stream that is being forwarded.
struct StreamProgress {
    /// The request at the endpoint that sends the stream, unless it broke off.
    source: Option<InFlight>,
    /// Id of the last event that was forwarded.
    last_id: Option<u64>,
    /// Whether the endpoint was recorded as silent since its last event.
    is_silent: bool,
}

/// A retry that was taken from the budget for a request that waits for an endpoint. Given back on
/// drop.
struct ReservedRetry {
    gateway: Rc<Gateway>,
    service: ServiceId,
    taken_at: Instant,
}

impl ReservedRetry {
    /// Makes the retry, which counts from now on.
    fn spend(self) {
        let (gateway, service) = (self.gateway.clone(), self.service.clone());
        drop(self);
        gateway.dispatcher.borrow_mut().retry_budget.try_take(&service, now());
        counter!(names::RETRIES, "allowed" => "true").increment(1);
    }
}

impl Drop for ReservedRetry {
    fn drop(&mut self) {
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        dispatcher.retry_budget.give_back(&self.service, self.taken_at);
    }
}

/// What happened to the attempts of a request.
pub(crate) enum HedgeEvent {
    /// An attempt ended.
    Ended(AttemptOutcome),
    /// No other endpoint can be asked now.
    Denied { reason: &'static str, retry_after: Duration },
    /// No endpoint has the request, and no other one may be asked.
    Exhausted,
    /// The request has a part that crashes endpoints. All attempts were ended.
    Suspect,
    /// The process shuts down and gives the request up. All attempts were ended.
    Stopping,
}

/// The attempts of one request.
pub(crate) struct Hedge {
    gateway: Rc<Gateway>,
    context: Rc<RequestContext>,
    pub(crate) history: AttemptHistory,
    plan: AttemptPlan,
    in_progress: AttemptsInProgress,
    /// Waits for an endpoint for the next attempt.
    acquiring: Option<AcquireFuture>,
    /// The retry for the attempt that waits for an endpoint, unless it is the first one.
    reserved: Option<ReservedRetry>,
    /// `None` until the first event of a stream arrived.
    stream: Option<StreamProgress>,
}

impl Hedge {
    /// Creates the state of a request of which nothing was sent yet.
    pub(crate) fn new(gateway: Rc<Gateway>, context: Rc<RequestContext>) -> Hedge {
        let limits = AttemptLimits {
            max_attempts: context.route.max_attempts,
            is_repeatable: context.route.kind.is_retryable(),
        };
        Hedge {
            gateway,
            context,
            history: AttemptHistory::default(),
            plan: AttemptPlan::new(limits, now()),
            in_progress: AttemptsInProgress::default(),
            acquiring: None,
            reserved: None,
            stream: None,
        }
    }

    /// Number of endpoints that the request was sent to.
    pub(crate) fn sent_count(&self) -> u32 {
        self.plan.sent_count()
    }

    /// Whether the request may be sent to another endpoint after one that may have run it.
    pub(crate) fn may_ask_another(&self) -> bool {
        self.plan.may_ask_another()
    }

    /// Whether an endpoint that was asked may still answer.
    pub(crate) fn is_in_progress(&self) -> bool {
        self.progress() != Progress::Nothing
    }

    fn progress(&self) -> Progress {
        let is_open = self.stream.as_ref().is_some_and(|stream| stream.source.is_some());
        match self.in_progress.progress() {
            Progress::Nothing if is_open => Progress::Waiting,
            progress => progress,
        }
    }

    /// Records that the stream of an endpoint is forwarded from now on, and ends all other attempts.
    pub(crate) fn record_stream(&mut self, source: InFlight, last_id: Option<u64>) {
        self.stream = Some(StreamProgress { source: Some(source), last_id, is_silent: false });
        self.restart_silence();
    }

    /// Records that the endpoint whose stream is forwarded has completed an event, and ends the attempts
    /// to resume the stream elsewhere.
    pub(crate) fn record_event(&mut self, last_id: Option<u64>) {
        if let Some(stream) = &mut self.stream {
            stream.last_id = last_id;
            if let (true, Some(source)) = (stream.is_silent, stream.source) {
                self.gateway.dispatcher.borrow_mut().record_silence_end(
                    source.endpoint,
                    source.key,
                    now(),
                );
            }
            stream.is_silent = false;
        }
        self.restart_silence();
    }

    /// Records that the stream broke off at its endpoint.
    pub(crate) fn record_broken_stream(&mut self) {
        if let Some(stream) = &mut self.stream {
            stream.source = None;
        }
    }

    /// Ends all attempts, the one whose stream is forwarded excepted.
    pub(crate) fn end_attempts(&mut self) {
        self.in_progress.clear();
        self.acquiring = None;
        self.reserved = None;
    }

    fn restart_silence(&mut self) {
        self.end_attempts();
        self.plan.postpone(now() + self.gateway.settings.stream_silence_timeout);
    }

    /// Waits for the next event, and asks other endpoints when it is time to. May be dropped at any
    /// point and called again.
    pub(crate) async fn next(&mut self) -> HedgeEvent {
        loop {
            if let Some(outcome) = self.end_outdated() {
                return HedgeEvent::Ended(outcome);
            }
            if self.is_suspect() {
                self.abandon();
                return HedgeEvent::Suspect;
            }
            if self.must_stop() {
                self.abandon();
                return HedgeEvent::Stopping;
            }
            let mut wake_at = self.in_progress.latest_start(&self.gateway, &self.context.service);
            if self.acquiring.is_none() {
                match self.plan.next_step(self.progress(), now()) {
                    NextStep::Start => {
                        if let Some(denied) = self.start_acquiring() {
                            return denied;
                        }
                    }
                    NextStep::Wait(until) => wake_at = earlier(wake_at, until),
                    NextStep::GiveUp => return HedgeEvent::Exhausted,
                }
            }
            tokio::select! {
                biased;
                (number, outcome) = self.in_progress.next_end() => {
                    self.record_end(number, &outcome);
                    return HedgeEvent::Ended(outcome);
                }
                acquired = next_assignment(&mut self.acquiring) => {
                    if let Some(denied) = self.handle_acquired(acquired) {
                        return denied;
                    }
                }
                () = sleep_until(wake_at) => {}
                () = self.gateway.part_refused.notified() => {}
                () = self.gateway.stage_reached.notified() => {}
                () = self.gateway.weights_changed.notified(), if !self.in_progress.is_empty() => {}
            }
        }
    }

    /// Whether the request has a part that crashes endpoints. A stream that is being forwarded shows that
    /// it has none.
    fn is_suspect(&self) -> bool {
        let is_open = self.stream.as_ref().is_some_and(|stream| stream.source.is_some());
        let suspects = self.gateway.suspect_parts.borrow();
        !is_open && suspects.refused_part(&self.context.parts).is_some()
    }

    /// Whether the process shuts down and gives the request up.
    fn must_stop(&self) -> bool {
        match self.gateway.shutdown_stage() {
            ShutdownStage::Serving => false,
            ShutdownStage::Refusing => !self.may_have_run(),
            ShutdownStage::GivingUp => true,
        }
    }

    /// Whether an endpoint can have begun the request.
    fn may_have_run(&self) -> bool {
        self.stream.is_some() || self.is_in_progress() || self.history.may_have_run()
    }

    /// Ends all attempts, those included that an endpoint has not begun to answer.
    fn abandon(&mut self) {
        if !self.in_progress.is_empty() {
            self.history.record_unknown();
        }
        self.end_attempts();
    }

    /// Starts to wait for an endpoint, if the retry budget allows it.
    fn start_acquiring(&mut self) -> Option<HedgeEvent> {
        if self.sent_count() > 0 {
            self.reserved = self.reserve_retry();
            self.record_silence(self.reserved.is_some());
            if self.reserved.is_none() {
                return Some(self.deny("budget", REFUSED_RETRY_AFTER));
            }
        }
        let deadline = self.gateway.deadline(&self.context);
        let is_resumed = self.stream.is_some();
        let homes = self.gateway.homes(&self.context);
        let tried = &self.history.endpoints;
        let request = self.context.pending_request(tried, is_resumed, deadline, homes);
        let (gateway, context) = (self.gateway.clone(), self.context.clone());
        self.acquiring = Some(Box::pin(async move { gateway.acquire(request, context).await }));
        None
    }

    fn handle_acquired(&mut self, acquired: AcquireResult) -> Option<HedgeEvent> {
        match acquired {
            Err((reason, retry_after)) => {
                self.reserved = None;
                Some(self.deny(reason.name(), retry_after))
            }
            Ok(assignment) => {
                if let Some(reserved) = self.reserved.take() {
                    reserved.spend();
                }
                self.send(assignment);
                None
            }
        }
    }

    fn send(&mut self, assignment: Assignment) {
        let expected = assignment.expected;
        self.history.record_sent(&assignment, now() - self.context.arrived);
        let patience =
            expected.max(self.context.route.target_latency) + self.gateway.settings.response_slack;
        let number = self.plan.record_sent(patience, now());
        let has_begun = Rc::new(Cell::new(false));
        let options = AttemptOptions {
            resume_after: self.stream.as_ref().and_then(|stream| stream.last_id),
            has_begun: has_begun.clone(),
        };
        let in_flight = assignment.in_flight;
        let view = self.gateway.dispatcher.borrow().endpoint(in_flight.endpoint, now());
        if view.as_ref().is_some_and(|view| view.is_outdated) {
            counter!(names::OLDER_WEIGHTS).increment(1);
        }
        let version = view.and_then(|view| self.version_at(in_flight, &view));
        let (gateway, context) = (self.gateway.clone(), self.context.clone());
        let future = async move { gateway.attempt(&context, assignment, options).await };
        let future = Box::pin(future);
        let attempt = AttemptInProgress { number, in_flight, future, has_begun, version };
        self.in_progress.push(attempt);
    }

    /// Returns the version of the weights that an endpoint must have to take a request now, else the
    /// one that it serves.
    fn version_at(&self, in_flight: InFlight, view: &EndpointView) -> Option<WeightsVersion> {
        let dispatcher = self.gateway.dispatcher.borrow();
        view.version.or_else(|| dispatcher.served_version(in_flight.endpoint, now()))
    }

    /// Ends an attempt that may not begin any more. Its connection is closed, so that the endpoint
    /// drops the request.
    fn end_outdated(&mut self) -> Option<AttemptOutcome> {
        let ended = self.in_progress.remove_outdated(&self.gateway, &self.context.service)?;
        self.plan.record_end(ended.number, now());
        let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
        let endpoint = self.endpoint_name(ended.in_flight);
        info!(self.gateway.log, "attempt ended before it begins on old weights";
            "id" => id.as_deref(), "endpoint" => endpoint,
            "version" => ended.version.map(|version| version.0));
        Some(AttemptOutcome::Lost(LossCause::OldWeights))
    }

    fn endpoint_name(&self, in_flight: InFlight) -> Option<String> {
        let view = self.gateway.dispatcher.borrow().endpoint(in_flight.endpoint, now())?;
        Some(view.id.to_string())
    }

    fn record_end(&mut self, number: AttemptNumber, outcome: &AttemptOutcome) {
        match outcome {
            AttemptOutcome::Unsent => self.plan.record_unreached(number, now()),
            _ => self.plan.record_end(number, self.next_ask()),
        }
    }

    /// When another endpoint is asked after one has ended without an answer.
    fn next_ask(&self) -> Instant {
        match self.stream {
            Some(_) => now() + self.gateway.settings.stream_silence_timeout,
            None => now(),
        }
    }

    fn deny(&mut self, reason: &'static str, retry_after: Duration) -> HedgeEvent {
        let pause = match self.stream {
            Some(_) => self.gateway.settings.stream_silence_timeout,
            None => self.gateway.settings.response_slack,
        };
        self.plan.postpone(now() + pause);
        HedgeEvent::Denied { reason, retry_after }
    }

    /// Takes one retry from the retry budget of the service, so that no more requests wait for another
    /// endpoint than may be sent to one. `None` if the budget is used up.
    fn reserve_retry(&self) -> Option<ReservedRetry> {
        let taken_at = now();
        let service = self.context.service.clone();
        let mut dispatcher = self.gateway.dispatcher.borrow_mut();
        if !dispatcher.retry_budget.try_take(&service, taken_at) {
            counter!(names::RETRIES, "allowed" => "false").increment(1);
            return None;
        }
        Some(ReservedRetry { gateway: self.gateway.clone(), service, taken_at })
    }

    /// Records once that the endpoint that was asked last did not answer in time. One that loads
    /// weights is not at fault.
    fn record_silence(&mut self, asks_another: bool) {
        let newest = self.in_progress.newest();
        if let (None, Some(stream)) = (newest, &mut self.stream) {
            stream.is_silent = true;
        }
        let source = self.stream.as_ref().and_then(|stream| stream.source);
        let Some(silent) = newest.or(source) else { return };
        if !self.gateway.record_silence(silent) {
            return;
        }
        let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
        let endpoint = self.endpoint_name(silent);
        info!(self.gateway.log, "endpoint silent"; "id" => id.as_deref(), "endpoint" => endpoint,
            "asks_another" => asks_another);
    }
}

/// Waits for the endpoint of the next attempt, if one is wanted.
async fn next_assignment(acquiring: &mut Option<AcquireFuture>) -> AcquireResult {
    poll_fn(|cx| {
        let Some(future) = acquiring else { return Poll::Pending };
        let polled = future.as_mut().poll(cx);
        if polled.is_ready() {
            *acquiring = None;
        }
        polled
    })
    .await
}

/// Returns the earlier of two times, of which `None` is never.
fn earlier(a: Option<Instant>, b: Option<Instant>) -> Option<Instant> {
    a.into_iter().chain(b).min()
}

async fn sleep_until(until: Option<Instant>) {
    match until {
        Some(until) => tokio::time::sleep_until(until.into()).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
pub(crate) mod tests;
