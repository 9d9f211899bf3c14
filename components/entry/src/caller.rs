//! Handles HTTP requests of callers: each gets a response or an error that says whether the request
//! may have run.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Instant,
};

use crossbeam_channel::{Sender, bounded};
use net::{Mailbox, Request};
use proto::{Outcome, Reservation};
use settings::EntrySettings;
use telemetry::MetricsHandle;

use crate::{
    attempt::{AttemptRunner, Call, RunResult},
    counts,
    event::{Assignment, Decision, Event, Failure, Refusal, RequestContext},
    refusal,
    request::{ParsedRequest, parse},
    sink::{CallerSink, respond_error, respond_text},
};

/// Handles the HTTP requests of callers.
#[derive(Clone)]
pub(crate) struct RequestHandler {
    pub(crate) settings: EntrySettings,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) runner: AttemptRunner,
    pub(crate) metrics: MetricsHandle,
    /// Whether this entry accepts new requests.
    pub(crate) ready: Arc<AtomicBool>,
}

impl RequestHandler {
    /// Handles one request.
    pub(crate) fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        match url.as_str() {
            "/healthz" => respond_text(request, 200, "ok\n"),
            "/readyz" if self.ready.load(Ordering::Relaxed) => {
                respond_text(request, 200, "ready\n")
            }
            "/readyz" => respond_text(request, 503, "draining\n"),
            "/metrics" => respond_text(request, 200, &self.metrics.render()),
            _ => match parse(&self.settings, &mut request, &url) {
                Ok(ParsedRequest::Call(call)) => self.serve(request, call),
                Ok(ParsedRequest::ReserveKey(context)) => self.reserve(request, context),
                Err(refusal) => respond_error(request, &refusal),
            },
        }
    }

    fn serve(&self, request: Request, mut call: Call) {
        let mut sink = CallerSink::new(request);
        // Tells whether an earlier attempt may have run.
        let mut may_have_run = false;
        let mut decision =
            self.await_decision(|reply| Event::Arrived { context: call.context.clone(), reply });
        loop {
            let assignment = match decision {
                Decision::Assign(assignment) => assignment,
                Decision::Refuse(refusal) => {
                    return sink.refuse(&with_accurate_outcome(
                        &call.context,
                        may_have_run,
                        refusal,
                    ));
                }
            };
            if sink.is_abandoned() {
                counts::caller_gone();
                let (vm, attempt) = (assignment.endpoint.vm, assignment.attempt);
                self.mailbox.send(Event::Ended { vm, attempt });
                return;
            }
            match self.runner.run(&call, &assignment, &mut sink) {
                RunResult::Answered => {
                    // A draining entry exits once no request is in progress, so the response must
                    // be finished before the actor is notified.
                    sink.finish();
                    counts::answered();
                    let fingerprint = call.context.fingerprint;
                    let (vm, attempt) = (assignment.endpoint.vm, assignment.attempt);
                    self.mailbox.send(Event::Answered { vm, attempt, fingerprint });
                    return;
                }
                RunResult::CallerGone => {
                    counts::caller_gone();
                    let (vm, attempt) = (assignment.endpoint.vm, assignment.attempt);
                    self.mailbox.send(Event::Ended { vm, attempt });
                    return;
                }
                RunResult::Refused(refusal) => {
                    sink.refuse(&refusal);
                    let (vm, attempt) = (assignment.endpoint.vm, assignment.attempt);
                    self.mailbox.send(Event::Ended { vm, attempt });
                    return;
                }
                RunResult::Failed(last) if !may_retry(&assignment, &last) || !sink.can_resume() => {
                    let late = Instant::now() >= call.context.deadline;
                    let refusal = if late {
                        refusal::deadline_exceeded(last.outcome)
                    } else {
                        refusal::lost(&last)
                    };
                    sink.refuse(&with_accurate_outcome(&call.context, may_have_run, refusal));
                    self.mailbox.send(Event::Lost { last });
                    return;
                }
                RunResult::Failed(last) => {
                    may_have_run |= last.outcome != Outcome::NotRun;
                    call.context.tried.push(last.vm.clone());
                    call.context.release = sink.release().cloned();
                    let context = call.context.clone();
                    decision = self.await_decision(|reply| Event::Retry { context, last, reply });
                }
            }
        }
    }

    /// Reserves a key that is bound to the endpoint that would run the call now.
    fn reserve(&self, request: Request, context: RequestContext) {
        match self.await_decision(|reply| Event::Arrived { context, reply }) {
            Decision::Refuse(refusal) => respond_error(request, &refusal),
            Decision::Assign(assignment) => {
                let vm = assignment.endpoint.vm.clone();
                let reservation = Reservation {
                    vm: vm.clone(),
                    incarnation: assignment.endpoint.incarnation,
                    stamp: assignment.stamp,
                    nonce: assignment.attempt.0,
                };
                let key = serde_json::json!({ "key": reservation.to_string() });
                respond_text(request, 200, &key.to_string());
                self.mailbox.send(Event::Ended { vm, attempt: assignment.attempt });
            }
        }
    }

    fn await_decision(&self, event: impl FnOnce(Sender<Decision>) -> Event) -> Decision {
        let (reply, decision) = bounded(1);
        if !self.mailbox.send(event(reply)) {
            return Decision::Refuse(refusal::stopping());
        }
        decision.recv().unwrap_or_else(|_| Decision::Refuse(refusal::stopping()))
    }
}

/// Whether a request may be retried after a failed attempt. A request with an idempotency key can
/// run at one endpoint only, so its caller gets the error at once.
fn may_retry(assignment: &Assignment, failure: &Failure) -> bool {
    match failure.outcome {
        _ if assignment.pinned => false,
        Outcome::NotRun => true,
        Outcome::Unknown => assignment.repeatable,
        Outcome::Run => false,
    }
}

/// Corrects the outcome of a refusal: if an earlier attempt, or an earlier call with the same
/// idempotency key, may have run, the refusal must not claim that the request did not run.
fn with_accurate_outcome(
    context: &RequestContext,
    may_have_run: bool,
    refusal: Refusal,
) -> Refusal {
    if may_have_run && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Unknown, ..refusal };
    }
    if context.binding.is_none() || !matches!(refusal.status, 422 | 429 | 503) {
        return refusal;
    }
    let message = format!("{}; repeat it with the same Idempotency-Key", refusal.message);
    Refusal { outcome: Outcome::Unknown, message, ..refusal }
}
