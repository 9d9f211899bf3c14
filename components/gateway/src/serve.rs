//! The way of a request from its caller to its answer.

use std::{rc::Rc, time::Duration};

use base::Digest;
use bytes::Bytes;
use dispatch::{EndpointKey, Refusal};
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use platform::facts;
use slog::info;
use telemetry::names;

use crate::{
    attempt::{AttemptOptions, AttemptResult, LossCause},
    request::RequestContext,
    response::{ResponseBody, forwarded_response, own_response},
    state::{Gateway, now},
};

/// Endpoints that are tried without being reached before a request is refused.
const MAX_UNREACHED: usize = 4;
/// When a caller may come back whose request an endpoint refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(200);

/// What is known of a request's tries so far.
#[derive(Default)]
pub(crate) struct AttemptHistory {
    /// Endpoints that were tried, in order.
    pub(crate) endpoints: Vec<EndpointKey>,
    /// Endpoints that were sent the request.
    pub(crate) sent_count: u32,
    /// Endpoints that were not reached.
    unreached_count: usize,
    /// Whether it may have run.
    may_have_run: bool,
    /// An endpoint's answer that it failed there.
    failure_response: Option<Response<Bytes>>,
    /// Predicted time until the first event, when it was last sent.
    expected: Duration,
    /// Time from the arrival until it was last sent.
    waited: Duration,
    /// Time from the arrival until the answer began.
    first_byte: Option<Duration>,
}

struct InFlightGuard(Rc<Gateway>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl Gateway {
    /// Answers a request.
    pub(crate) async fn serve(
        self: Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        self.in_flight.set(self.in_flight.get() + 1);
        let _busy = InFlightGuard(self.clone());
        let facts = facts(request.headers());
        let id = facts.id.clone();
        match self.admit(request, facts).await {
            Ok((ask, _held)) => self.run(Rc::new(ask)).await,
            Err(denied) => {
                let status = denied.status();
                self.log_denied(id.as_ref(), denied.name(), status);
                own_response(status, id.as_ref(), denied.retry_after())
            }
        }
    }

    async fn run(self: &Rc<Gateway>, ask: Rc<RequestContext>) -> Response<ResponseBody> {
        self.dispatcher.borrow_mut().retry_budget.record_request(&ask.service, now());
        let until = tokio::time::Instant::from_std(ask.deadline);
        let mut tries = AttemptHistory::default();
        match tokio::time::timeout_at(until, self.run_attempts(&ask, &mut tries)).await {
            Ok(response) => response,
            Err(_) if tries.may_have_run || tries.sent_count > 0 => {
                self.fail(&ask, &tries, StatusCode::GATEWAY_TIMEOUT, "timeout")
            }
            Err(_) => self.refuse(&ask, &tries, Refusal::Late.name(), REFUSED_RETRY_AFTER),
        }
    }

    async fn run_attempts(
        self: &Rc<Gateway>,
        ask: &Rc<RequestContext>,
        tries: &mut AttemptHistory,
    ) -> Response<ResponseBody> {
        loop {
            let allowed =
                tries.sent_count < ask.route.max_attempts && tries.unreached_count < MAX_UNREACHED;
            if !allowed || (tries.sent_count > 0 && !self.take_retry(ask)) {
                return self.give_up(ask, tries, "attempts", REFUSED_RETRY_AFTER);
            }
            let sent = match self.acquire(ask.job(&tries.endpoints, false)).await {
                Ok(sent) => sent,
                Err((reason, retry_after)) => {
                    return self.give_up(ask, tries, reason.name(), retry_after);
                }
            };
            tries.endpoints.push(sent.endpoint);
            tries.expected = sent.expected;
            tries.waited = now() - ask.arrived;
            let plan = AttemptOptions {
                is_last: tries.sent_count + 1 >= ask.route.max_attempts,
                resume_after: None,
            };
            tries.sent_count += 1;
            match self.attempt(ask, sent, plan).await {
                AttemptResult::Unsent => {
                    tries.sent_count -= 1;
                    tries.unreached_count += 1;
                }
                AttemptResult::Refused => {}
                AttemptResult::Response(response) => return self.forward(ask, tries, response),
                AttemptResult::Stream(opened) => {
                    let first = now() - ask.arrived;
                    tries.first_byte = Some(first);
                    histogram!(names::FIRST_BYTE).record(first.as_secs_f64());
                    return self.stream(ask.clone(), *opened, std::mem::take(tries));
                }
                AttemptResult::Failed(response) if !ask.route.kind.is_retryable() => {
                    return self.forward(ask, tries, response);
                }
                AttemptResult::Failed(response) => {
                    tries.may_have_run = true;
                    tries.failure_response = Some(response);
                }
                AttemptResult::Lost(loss) => {
                    tries.may_have_run = true;
                    if !ask.route.kind.is_retryable() {
                        return self.respond_lost(ask, tries, loss);
                    }
                }
            }
        }
    }

    /// Takes one repeat from the budget.
    pub(crate) fn take_retry(&self, ask: &RequestContext) -> bool {
        let taken = self.dispatcher.borrow_mut().retry_budget.try_take(&ask.service, now());
        let allowed = if taken { "true" } else { "false" };
        counter!(names::RETRIES, "allowed" => allowed).increment(1);
        taken
    }

    fn give_up(
        &self,
        ask: &RequestContext,
        tries: &mut AttemptHistory,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        match tries.failure_response.take() {
            Some(failure) => self.forward(ask, tries, failure),
            None if tries.may_have_run => self.fail(ask, tries, StatusCode::BAD_GATEWAY, reason),
            None => self.refuse(ask, tries, reason, retry_after),
        }
    }

    fn respond_lost(
        &self,
        ask: &RequestContext,
        tries: &AttemptHistory,
        loss: LossCause,
    ) -> Response<ResponseBody> {
        let status = match loss {
            LossCause::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            LossCause::Broken | LossCause::Unusable => StatusCode::BAD_GATEWAY,
        };
        self.fail(ask, tries, status, loss.name())
    }

    /// Passes an endpoint's whole answer on.
    fn forward(
        &self,
        ask: &RequestContext,
        tries: &AttemptHistory,
        response: Response<Bytes>,
    ) -> Response<ResponseBody> {
        let outcome = if response.status().is_success() { "answered" } else { "failed" };
        histogram!(names::FIRST_BYTE).record((now() - ask.arrived).as_secs_f64());
        self.log_request(ask, outcome, "", response.status(), tries);
        forwarded_response(response)
    }

    /// Says that a request has not run.
    fn refuse(
        &self,
        ask: &RequestContext,
        tries: &AttemptHistory,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<ResponseBody> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.refusals.borrow_mut().record(&ask.fingerprint, ask.first_requested);
        self.log_request(ask, "not-run", reason, status, tries);
        own_response(status, ask.facts.id.as_ref(), Some(retry_after))
    }

    /// Says that a request has no answer and may have run.
    fn fail(
        &self,
        ask: &RequestContext,
        tries: &AttemptHistory,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<ResponseBody> {
        self.log_request(ask, "unknown", reason, status, tries);
        own_response(status, ask.facts.id.as_ref(), None)
    }

    /// Notes the end of a request that was looked at, and what decided it.
    pub(crate) fn log_request(
        &self,
        ask: &RequestContext,
        outcome: &'static str,
        reason: &str,
        status: StatusCode,
        tries: &AttemptHistory,
    ) {
        counter!(names::REQUESTS, "outcome" => outcome).increment(1);
        let dispatcher = self.dispatcher.borrow();
        let name = |key: &EndpointKey| {
            let view = dispatcher.endpoint(*key, now());
            view.map_or_else(|| "gone".to_owned(), |view| view.id.to_string())
        };
        let endpoints: Vec<String> = tries.endpoints.iter().map(name).collect();
        let millis = |time: Duration| time.as_millis() as u64;
        info!(self.log, "request"; "id" => id_text(ask.facts.id.as_ref()),
            "route" => &*ask.route.name, "outcome" => outcome, "reason" => reason,
            "status" => status.as_u16(), "endpoints" => endpoints.join(","),
            "again" => ask.refused_before, "waited_ms" => millis(tries.waited),
            "expected_ms" => millis(tries.expected), "first_ms" => tries.first_byte.map(millis),
            "took_ms" => millis(now() - ask.arrived), "left_ms" => millis(ask.time_left()),
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

    /// Notes that a request is refused from now on, wherever it was lost.
    pub(crate) fn log_refused_suspect(&self, fingerprint: &Digest) {
        info!(self.log, "request is refused from now on, as it was lost at endpoints again and again";
            "fingerprint" => fingerprint.to_string());
    }
}

fn id_text(id: Option<&Bytes>) -> String {
    id.map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
}
