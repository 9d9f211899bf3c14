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
    attempt::{AttemptOptions, AttemptOutcome, LossCause},
    request::RequestContext,
    response::{ResponseBody, forwarded_response, own_response},
    state::{Gateway, now},
};

/// Number of unreachable endpoints after which a request is refused.
const MAX_UNREACHED: usize = 4;
/// `Retry-After` for requests that endpoints refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Attempts made so far for one request.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Endpoints in the order in which they were tried.
    pub(crate) endpoints: Vec<EndpointKey>,
    /// Number of endpoints to which the request was sent.
    pub(crate) sent_count: u32,
    /// Number of endpoints that could not be reached.
    unreached_count: usize,
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

/// Decrements the number of requests in flight on drop.
struct InFlightGuard(Rc<Gateway>);

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
        self.in_flight.set(self.in_flight.get() + 1);
        let _guard = InFlightGuard(self.clone());
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
        let until = tokio::time::Instant::from_std(context.deadline);
        let mut history = AttemptHistory::default();
        match tokio::time::timeout_at(until, self.run_attempts(&context, &mut history)).await {
            Ok(response) => response,
            Err(_) if history.may_have_run || history.sent_count > 0 => {
                self.fail(&context, &history, StatusCode::GATEWAY_TIMEOUT, "timeout")
            }
            Err(_) => self.refuse(&context, &history, Refusal::Late.name(), REFUSED_RETRY_AFTER),
        }
    }

    async fn run_attempts(
        self: &Rc<Gateway>,
        context: &Rc<RequestContext>,
        history: &mut AttemptHistory,
    ) -> Response<ResponseBody> {
        loop {
            let allowed = history.sent_count < context.route.max_attempts
                && history.unreached_count < MAX_UNREACHED;
            if !allowed || (history.sent_count > 0 && !self.take_retry(context)) {
                return self.give_up(context, history, "attempts", REFUSED_RETRY_AFTER);
            }
            let assignment =
                match self.acquire(context.pending_request(&history.endpoints, false)).await {
                    Ok(assignment) => assignment,
                    Err((reason, retry_after)) => {
                        return self.give_up(context, history, reason.name(), retry_after);
                    }
                };
            history.endpoints.push(assignment.endpoint);
            history.expected = assignment.expected;
            history.waited = now() - context.arrived;
            let options = AttemptOptions {
                is_last: history.sent_count + 1 >= context.route.max_attempts,
                resume_after: None,
            };
            history.sent_count += 1;
            match self.attempt(context, assignment, options).await {
                AttemptOutcome::Unsent => {
                    history.sent_count -= 1;
                    history.unreached_count += 1;
                }
                AttemptOutcome::Refused => {}
                AttemptOutcome::Response(response) => {
                    return self.forward(context, history, response);
                }
                AttemptOutcome::Stream(opened) => {
                    let first = now() - context.arrived;
                    history.first_byte = Some(first);
                    histogram!(names::FIRST_BYTE).record(first.as_secs_f64());
                    return self.stream(context.clone(), *opened, std::mem::take(history));
                }
                AttemptOutcome::Failed(response) if !context.route.kind.is_retryable() => {
                    return self.forward(context, history, response);
                }
                AttemptOutcome::Failed(response) => {
                    history.may_have_run = true;
                    history.failure_response = Some(response);
                }
                AttemptOutcome::Lost(loss) => {
                    history.may_have_run = true;
                    if !context.route.kind.is_retryable() {
                        return self.respond_lost(context, history, loss);
                    }
                }
            }
        }
    }

    /// Takes one retry from the retry budget of the service. Returns false if the budget is used up.
    pub(crate) fn take_retry(&self, context: &RequestContext) -> bool {
        let taken = self.dispatcher.borrow_mut().retry_budget.try_take(&context.service, now());
        let allowed = if taken { "true" } else { "false" };
        counter!(names::RETRIES, "allowed" => allowed).increment(1);
        taken
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
            LossCause::Broken | LossCause::Unusable => StatusCode::BAD_GATEWAY,
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
