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
    answer::{AnswerBody, own, whole},
    ask::Ask,
    attempt::{Loss, Plan, Tried},
    shared::{Gateway, now},
};

/// Endpoints that are tried without being reached before a request is refused.
const UNREACHED: usize = 4;
/// When a caller may come back whose request an endpoint refused.
const REFUSED_RETRY: Duration = Duration::from_millis(200);

/// What is known of a request's tries so far.
#[derive(Default)]
pub(crate) struct Tries {
    /// Endpoints that were tried, in order.
    pub(crate) endpoints: Vec<EndpointKey>,
    /// Endpoints that were sent the request.
    pub(crate) sent: u32,
    /// Endpoints that were not reached.
    unreached: usize,
    /// Whether it may have run.
    may_have_run: bool,
    /// An endpoint's answer that it failed there.
    failure: Option<Response<Bytes>>,
    /// Predicted time until the first event, when it was last sent.
    expected: Duration,
    /// Time from the arrival until it was last sent.
    waited: Duration,
    /// Time from the arrival until the answer began.
    first: Option<Duration>,
}

struct Busy(Rc<Gateway>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
    }
}

impl Gateway {
    /// Answers a request.
    pub(crate) async fn serve(
        self: Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<AnswerBody> {
        self.busy.set(self.busy.get() + 1);
        let _busy = Busy(self.clone());
        let facts = facts(request.headers());
        let id = facts.id.clone();
        match self.ask(request, facts).await {
            Ok((ask, _held)) => self.run(Rc::new(ask)).await,
            Err(denied) => {
                let status = denied.status();
                self.note_denied(id.as_ref(), denied.name(), status);
                own(status, id.as_ref(), denied.retry_after())
            }
        }
    }

    async fn run(self: &Rc<Gateway>, ask: Rc<Ask>) -> Response<AnswerBody> {
        self.dispatcher.borrow_mut().repeats.arrived(&ask.service, now());
        let until = tokio::time::Instant::from_std(ask.deadline);
        let mut tries = Tries::default();
        match tokio::time::timeout_at(until, self.run_tries(&ask, &mut tries)).await {
            Ok(response) => response,
            Err(_) if tries.may_have_run || tries.sent > 0 => {
                self.fail(&ask, &tries, StatusCode::GATEWAY_TIMEOUT, "timeout")
            }
            Err(_) => self.refuse(&ask, &tries, Refusal::Late.name(), REFUSED_RETRY),
        }
    }

    async fn run_tries(
        self: &Rc<Gateway>,
        ask: &Rc<Ask>,
        tries: &mut Tries,
    ) -> Response<AnswerBody> {
        loop {
            let allowed = tries.sent < ask.route.attempts && tries.unreached < UNREACHED;
            if !allowed || (tries.sent > 0 && !self.take_repeat(ask)) {
                return self.give_up(ask, tries, "attempts", REFUSED_RETRY);
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
            let plan = Plan { last: tries.sent + 1 >= ask.route.attempts, after: None };
            tries.sent += 1;
            match self.attempt(ask, sent, plan).await {
                Tried::Unsent => {
                    tries.sent -= 1;
                    tries.unreached += 1;
                }
                Tried::Refused => {}
                Tried::Whole(response) => return self.finish(ask, tries, response),
                Tried::Stream(opened) => {
                    let first = now() - ask.arrived;
                    tries.first = Some(first);
                    histogram!(names::FIRST_BYTE).record(first.as_secs_f64());
                    return self.stream(ask.clone(), *opened, std::mem::take(tries));
                }
                Tried::Failed(response) if !ask.route.kind.repeatable() => {
                    return self.finish(ask, tries, response);
                }
                Tried::Failed(response) => {
                    tries.may_have_run = true;
                    tries.failure = Some(response);
                }
                Tried::Lost(loss) => {
                    tries.may_have_run = true;
                    if !ask.route.kind.repeatable() {
                        return self.lost_answer(ask, tries, loss);
                    }
                }
            }
        }
    }

    /// Takes one repeat from the budget.
    pub(crate) fn take_repeat(&self, ask: &Ask) -> bool {
        let taken = self.dispatcher.borrow_mut().repeats.take(&ask.service, now());
        let allowed = if taken { "true" } else { "false" };
        counter!(names::RETRIES, "allowed" => allowed).increment(1);
        taken
    }

    fn give_up(
        &self,
        ask: &Ask,
        tries: &mut Tries,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        match tries.failure.take() {
            Some(failure) => self.finish(ask, tries, failure),
            None if tries.may_have_run => self.fail(ask, tries, StatusCode::BAD_GATEWAY, reason),
            None => self.refuse(ask, tries, reason, retry_after),
        }
    }

    fn lost_answer(&self, ask: &Ask, tries: &Tries, loss: Loss) -> Response<AnswerBody> {
        let status = match loss {
            Loss::Silent => StatusCode::GATEWAY_TIMEOUT,
            Loss::Broken | Loss::Unusable => StatusCode::BAD_GATEWAY,
        };
        self.fail(ask, tries, status, loss.name())
    }

    /// Passes an endpoint's whole answer on.
    fn finish(&self, ask: &Ask, tries: &Tries, response: Response<Bytes>) -> Response<AnswerBody> {
        let outcome = if response.status().is_success() { "answered" } else { "failed" };
        histogram!(names::FIRST_BYTE).record((now() - ask.arrived).as_secs_f64());
        self.note_ask(ask, outcome, "", response.status(), tries);
        whole(response)
    }

    /// Says that a request has not run.
    fn refuse(
        &self,
        ask: &Ask,
        tries: &Tries,
        reason: &'static str,
        retry_after: Duration,
    ) -> Response<AnswerBody> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        self.refusals.borrow_mut().refused(&ask.fingerprint, ask.asked);
        self.note_ask(ask, "not-run", reason, status, tries);
        own(status, ask.facts.id.as_ref(), Some(retry_after))
    }

    /// Says that a request has no answer and may have run.
    fn fail(
        &self,
        ask: &Ask,
        tries: &Tries,
        status: StatusCode,
        reason: &'static str,
    ) -> Response<AnswerBody> {
        self.note_ask(ask, "unknown", reason, status, tries);
        own(status, ask.facts.id.as_ref(), None)
    }

    /// Notes the end of a request that was looked at, and what decided it.
    pub(crate) fn note_ask(
        &self,
        ask: &Ask,
        outcome: &'static str,
        reason: &str,
        status: StatusCode,
        tries: &Tries,
    ) {
        counter!(names::REQUESTS, "outcome" => outcome).increment(1);
        let dispatcher = self.dispatcher.borrow();
        let name = |key: &EndpointKey| {
            let view = dispatcher.endpoint(*key, now());
            view.map_or_else(|| "gone".to_owned(), |view| view.id.to_string())
        };
        let endpoints: Vec<String> = tries.endpoints.iter().map(name).collect();
        let millis = |time: Duration| time.as_millis() as u64;
        info!(self.log, "request"; "id" => text(ask.facts.id.as_ref()),
            "route" => &*ask.route.name, "outcome" => outcome, "reason" => reason,
            "status" => status.as_u16(), "endpoints" => endpoints.join(","),
            "again" => ask.again, "waited_ms" => millis(tries.waited),
            "expected_ms" => millis(tries.expected), "first_ms" => tries.first.map(millis),
            "took_ms" => millis(now() - ask.arrived), "left_ms" => millis(ask.left()),
            "config" => self.config_version());
    }

    fn note_denied(&self, id: Option<&Bytes>, reason: &'static str, status: StatusCode) {
        counter!(names::REQUESTS, "outcome" => "denied").increment(1);
        info!(self.log, "request"; "id" => text(id), "outcome" => "denied", "reason" => reason,
            "status" => status.as_u16(), "config" => self.config_version());
    }

    fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |config| config.version.0)
    }

    /// Notes that a request is refused from now on, wherever it was lost.
    pub(crate) fn note_suspect(&self, fingerprint: &Digest) {
        info!(self.log, "request is refused from now on, as it was lost at endpoints again and again";
            "fingerprint" => fingerprint.to_string());
    }
}

fn text(id: Option<&Bytes>) -> String {
    id.map(|id| String::from_utf8_lossy(id).into_owned()).unwrap_or_default()
}
