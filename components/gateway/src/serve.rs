//! Handles a request from admission to response: chooses endpoints, retries and logs the outcome.

use std::{rc::Rc, time::Duration};

use base::Digest;
use bytes::Bytes;
use dispatch::{EndpointKey, Refusal};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use platform::parse_caller_headers;
use slog::info;
use telemetry::names;

use crate::{
    attempt::{AttemptOutcome, LossCause, OpenStream},
    hedge::{Hedge, HedgeEvent},
    request::{RequestContext, STOPPING_RETRY_AFTER, SUSPECT_RETRY_AFTER},
    response::{ResponseBody, forwarded_response, own_response},
    state::{Assignment, Gateway, now},
};

/// `Retry-After` for requests that endpoints refused.
pub(crate) const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Attempts made so far for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Endpoints in the order in which they were tried.
    pub(crate) endpoints: Vec<EndpointKey>,
    /// Whether the request may have run.
    may_have_run: bool,
    /// Response of an endpoint at which the request failed.
    failure_response: Option<Response<Bytes>>,
    /// Time until the first event, as predicted when the request was last sent.
    expected: Duration,
    /// Time from arrival until the request was last sent.
    waited: Duration,
    /// Time from arrival until the response began.
    first_byte: Option<Duration>,
}

impl AttemptHistory {
    /// Records that the request is sent to an endpoint, `waited` after its arrival.
    pub(crate) fn record_sent(&mut self, assignment: &Assignment, waited: Duration) {
        self.endpoints.push(assignment.in_flight.endpoint);
        self.expected = assignment.expected;
        self.waited = waited;
    }

    /// Whether an attempt that has ended may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records that an attempt was ended that may have run.
    pub(crate) fn record_unknown(&mut self) {
        self.may_have_run = true;
    }
}

/// What the caller of a request gets.
enum Answer {
    /// A complete response.
    Response(Response<ResponseBody>),
    /// A stream, whose first bytes have arrived.
    Stream(Box<OpenStream>),
}

impl From<Response<ResponseBody>> for Answer {
    fn from(response: Response<ResponseBody>) -> Answer {
        Answer::Response(response)
    }
}

/// Counts a request as in flight until it is dropped.
pub(crate) struct InFlightGuard(Rc<Gateway>);

impl InFlightGuard {
    pub(crate) fn new(gateway: &Rc<Gateway>) -> InFlightGuard {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        InFlightGuard(gateway.clone())
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Gateway {
    /// Handles a caller's request and returns the response.
    pub(crate) async fn serve(
        self: Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let _guard = InFlightGuard::new(&self);
        let facts = parse_caller_headers(request.headers());
        let id = facts.id.clone();
        match self.admit(request, facts).await {
            Ok((context, _reservation)) => self.run(Rc::new(context)).await,
            Err(denied) => {
                let status = denied.status();
                self.log_denied(id.as_ref(), denied.name(), status);
                own_response(status, id.as_ref(), denied.retry_after())
            }
        }
    }

    async fn run(self: &Rc<Gateway>, context: Rc<RequestContext>) -> Response<ResponseBody> {
        self.dispatcher.borrow_mut().retry_budget.record_request(&context.service, now());
        let until = tokio::time::Instant::from_std(context.response_deadline());
        let mut hedge = Hedge::new(self.clone(), context.clone());
        match tokio::time::timeout_at(until, self.run_attempts(&context, &mut hedge)).await {
            Ok(Answer::Response(response)) => response,
            Ok(Answer::Stream(opened)) => self.stream(context, *opened, hedge),
            Err(_) => self.respond_late(&context, &mut hedge),
        }
    }

    async fn run_attempts(
        self: &Rc<Gateway>,
        context: &Rc<RequestContext>,
        hedge: &mut Hedge,
    ) -> Answer {
        loop {
            let outcome = match hedge.next().await {
                // Attempts time out only at the deadline.
                HedgeEvent::Ended(AttemptOutcome::Lost(LossCause::TimedOut)) => {
                    return self.respond_late(context, hedge).into();
                }
                HedgeEvent::Ended(outcome) => outcome,
                HedgeEvent::Denied { reason, .. } if hedge.is_in_progress() => {
                    self.log_not_repeated(context, reason);
                    continue;
                }
                HedgeEvent::Denied { reason, retry_after } => {
                    let history = &mut hedge.history;
                    return self.give_up(context, history, reason, retry_after).into();
                }
                HedgeEvent::Suspect => {
                    let history = &mut hedge.history;
                    return self.give_up(context, history, "suspect", SUSPECT_RETRY_AFTER).into();
                }
                HedgeEvent::Stopping => {
                    let history = &mut hedge.history;
                    return self.give_up(context, history, "stopping", STOPPING_RETRY_AFTER).into();
                }
                HedgeEvent::Exhausted => {
                    let history = &mut hedge.history;
                    return self.give_up(context, history, "attempts", REFUSED_RETRY_AFTER).into();
                }
            };
            if let Some(answer) = self.handle_outcome(context, &mut hedge.history, outcome) {
                return answer;
            }
        }
    }

    /// Returns the answer to the caller, unless another attempt may still bring one.
    fn handle_outcome(
        &self,
        context: &RequestContext,
        history: &mut AttemptHistory,
        outcome: AttemptOutcome,
    ) -> Option<Answer> {
        match outcome {
            AttemptOutcome::Unsent | AttemptOutcome::Refused => None,
            AttemptOutcome::Response(response) => {
                Some(self.forward(context, history, response).into())
            }
            AttemptOutcome::Stream(opened) => {
                let first = now() - context.arrived;
                history.first_byte = Some(first);
                histogram!(names::FIRST_BYTE).record(first.as_secs_f64());
                Some(Answer::Stream(opened))
            }
            AttemptOutcome::Failed(response) if !context.route.kind.is_retryable() => {
                Some(self.forward(context, history, response).into())
            }
            AttemptOutcome::Failed(response) => {
                history.may_have_run = true;
                history.failure_response = Some(response);
                None
            }
            AttemptOutcome::Lost(loss) => {
                history.may_have_run = true;
                let is_final = !context.route.kind.is_retryable();
                is_final.then(|| self.respond_lost(context, history, loss).into())
            }
        }
    }

    /// Responds when no response has begun in time.
    fn respond_late(&self, context: &RequestContext, hedge: &mut Hedge) -> Response<ResponseBody> {
        let was_sent = hedge.sent_count() > 0;
        let history = &mut hedge.history;
        match history.failure_response.take() {
            Some(failure) => self.forward(context, history, failure),
            None if history.may_have_run || was_sent => {
                self.fail(context, history, StatusCode::GATEWAY_TIMEOUT, "timeout")
            }
            None => self.refuse(context, history, Refusal::Late.name(), REFUSED_RETRY_AFTER),
        }
    }

    fn log_not_repeated(&self, context: &RequestContext, reason: &str) {
        info!(self.log, "request not repeated"; "id" => id_text(context.facts.id.as_ref()),
            "reason" => reason);
    }

    fn give_up(
        &self,
        context: &RequestContext,
        history: &mut AttemptHistory,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        match history.failure_response.take() {
            Some(failure) => self.forward(context, history, failure),
            None if history.may_have_run => {
                self.fail(context, history, StatusCode::BAD_GATEWAY, reason)
            }
            None => self.refuse(context, history, reason, retry_after),
        }
    }

    fn respond_lost(
        &self,
        context: &RequestContext,
        history: &AttemptHistory,
        loss: LossCause,
    ) -> Response<ResponseBody> {
        let status = match loss {
            LossCause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            LossCause::Broken | LossCause::Unusable | LossCause::OldWeights => {
                StatusCode::BAD_GATEWAY
            }
        };
        self.fail(context, history, status, loss.name())
    }

    /// Forwards a complete response of an endpoint.
    fn forward(
        &self,
        context: &RequestContext,
        history: &AttemptHistory,
        response: Response<Bytes>,
    ) -> Response<ResponseBody> {
        let outcome = if response.status().is_success() { "answered" } else { "failed" };
        histogram!(names::FIRST_BYTE).record((now() - context.arrived).as_secs_f64());
        self.log_request(context, outcome, "", response.status(), history);
        forwarded_response(response)
    }

    /// Responds that the request has not run, and remembers the refusal.
    fn refuse(
        &self,
        context: &RequestContext,
        history: &AttemptHistory,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        let homes = self.homes(context);
        let backoff = self.dispatcher.borrow().service_backoff(&context.service, &homes, now());
        let retry_after = retry_after.max(backoff.unwrap_or_default());
        counter!(names::REFUSALS, "reason" => reason).increment(1);
        self.refusals.borrow_mut().record(&context.fingerprint, context.first_requested);
        self.log_request(context, "not-run", reason, status, history);
        own_response(status, context.facts.id.as_ref(), Some(retry_after))
    }

    /// Responds that the request may have run but its response was lost.
    fn fail(
        &self,
        context: &RequestContext,
        history: &AttemptHistory,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<ResponseBody> {
        self.log_request(context, "unknown", reason, status, history);
        own_response(status, context.facts.id.as_ref(), None)
    }

    /// Counts and logs the outcome of an admitted request.
    pub(crate) fn log_request(
        &self,
        context: &RequestContext,
        outcome: &'static str,
        reason: &str,
        status: StatusCode,
        history: &AttemptHistory,
    ) {
        counter!(names::REQUESTS, "outcome" => outcome).increment(1);
        let dispatcher = self.dispatcher.borrow();
        let name = |key: &EndpointKey| {
            let view = dispatcher.endpoint(*key, now());
            view.map_or_else(|| "gone".to_owned(), |view| view.id.to_string())
        };
        let endpoints: Vec<String> = history.endpoints.iter().map(name).collect();
        let millis = |time: Duration| time.as_millis() as u64;
        info!(self.log, "request"; "id" => id_text(context.facts.id.as_ref()),
            "route" => &*context.route.name, "outcome" => outcome, "reason" => reason,
            "status" => status.as_u16(), "endpoints" => endpoints.join(","),
            "again" => context.refused_before, "waited_ms" => millis(history.waited),
            "expected_ms" => millis(history.expected), "first_ms" => history.first_byte.map(millis),
            "took_ms" => millis(now() - context.arrived), "left_ms" => millis(context.time_left()),
            "config" => self.config_version());
    }

    fn log_denied(&self, id: Option<&Bytes>, reason: &'static str, status: StatusCode) {
        counter!(names::REQUESTS, "outcome" => "denied").increment(1);
        info!(self.log, "request"; "id" => id_text(id), "outcome" => "denied", "reason" => reason,
            "status" => status.as_u16(), "config" => self.config_version());
    }

    fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.version.0)
    }

    /// Logs that a request is refused from now on, whichever gateways saw it lost.
    pub(crate) fn log_refused_suspect(&self, fingerprint: &Digest) {
        info!(self.log, "request is refused from now on, as it was lost at endpoints again and again";
            "fingerprint" => fingerprint.to_string());
    }
}

fn id_text(id: Option<&Bytes>) -> String {
    id.map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
}
