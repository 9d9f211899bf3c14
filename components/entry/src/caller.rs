//! The callers' address: answers each request with an answer or a truthful refusal.

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
use telemetry::MetricsPage;

use crate::{
    attempt::{Attempter, Call, End},
    counts,
    event::{Ask, Decision, Event, Failure, Grant, Refusal},
    refusal,
    request::{Wish, parse},
    sink::{CallerSink, refuse, text},
};

/// Serves callers.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) settings: EntrySettings,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) attempter: Attempter,
    pub(crate) metrics: MetricsPage,
    /// Whether this entry takes new work.
    pub(crate) ready: Arc<AtomicBool>,
}

impl Callers {
    /// Handles one request.
    pub(crate) fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        match url.as_str() {
            "/healthz" => text(request, 200, "ok\n"),
            "/readyz" if self.ready.load(Ordering::Relaxed) => text(request, 200, "ready\n"),
            "/readyz" => text(request, 503, "draining\n"),
            "/metrics" => text(request, 200, &self.metrics.render()),
            _ => match parse(&self.settings, &mut request, &url) {
                Ok(Wish::Answer(call)) => self.serve(request, call),
                Ok(Wish::Key(ask)) => self.reserve(request, ask),
                Err(refusal) => refuse(request, &refusal),
            },
        }
    }

    fn serve(&self, request: Request, mut call: Call) {
        let mut sink = CallerSink::new(request);
        // Whether an earlier attempt may have run.
        let mut ran = false;
        let mut decision = self.ask(|reply| Event::Arrived { ask: call.ask.clone(), reply });
        loop {
            let grant = match decision {
                Decision::Go(grant) => grant,
                Decision::Refuse(refusal) => {
                    return sink.refuse(&truthful(&call.ask, ran, refusal));
                }
            };
            if sink.is_abandoned() {
                counts::caller_gone();
                let (vm, attempt) = (grant.choice.vm, grant.attempt);
                self.mailbox.send(Event::Ended { vm, attempt });
                return;
            }
            match self.attempter.run(&call, &grant, &mut sink) {
                End::Answered => {
                    // A stopping entry ends once no request is in progress, so the answer goes first.
                    sink.finish();
                    counts::answered();
                    let fingerprint = call.ask.fingerprint;
                    let (vm, attempt) = (grant.choice.vm, grant.attempt);
                    self.mailbox.send(Event::Answered { vm, attempt, fingerprint });
                    return;
                }
                End::CallerGone => {
                    counts::caller_gone();
                    let (vm, attempt) = (grant.choice.vm, grant.attempt);
                    self.mailbox.send(Event::Ended { vm, attempt });
                    return;
                }
                End::Refused(refusal) => {
                    sink.refuse(&refusal);
                    let (vm, attempt) = (grant.choice.vm, grant.attempt);
                    self.mailbox.send(Event::Ended { vm, attempt });
                    return;
                }
                End::Failed(last) if !may_repeat(&grant, &last) || !sink.may_restart() => {
                    let late = Instant::now() >= call.ask.deadline;
                    let refusal =
                        if late { refusal::late(last.outcome) } else { refusal::lost(&last) };
                    sink.refuse(&truthful(&call.ask, ran, refusal));
                    self.mailbox.send(Event::Lost { last });
                    return;
                }
                End::Failed(last) => {
                    ran |= last.outcome != Outcome::NotRun;
                    call.ask.tried.push(last.vm.clone());
                    call.ask.release = sink.release().cloned();
                    let ask = call.ask.clone();
                    decision = self.ask(|reply| Event::Again { ask, last, reply });
                }
            }
        }
    }

    /// Gives out a key that is bound to the endpoint that would run the call now.
    fn reserve(&self, request: Request, ask: Ask) {
        match self.ask(|reply| Event::Arrived { ask, reply }) {
            Decision::Refuse(refusal) => refuse(request, &refusal),
            Decision::Go(grant) => {
                let vm = grant.choice.vm.clone();
                let reservation = Reservation {
                    vm: vm.clone(),
                    incarnation: grant.choice.incarnation,
                    stamp: grant.stamp,
                    nonce: grant.attempt.0,
                };
                let key = serde_json::json!({ "key": reservation.to_string() });
                text(request, 200, &key.to_string());
                self.mailbox.send(Event::Ended { vm, attempt: grant.attempt });
            }
        }
    }

    fn ask(&self, event: impl FnOnce(Sender<Decision>) -> Event) -> Decision {
        let (reply, decision) = bounded(1);
        if !self.mailbox.send(event(reply)) {
            return Decision::Refuse(refusal::stopping());
        }
        decision.recv().unwrap_or_else(|_| Decision::Refuse(refusal::stopping()))
    }
}

/// Whether a request may be run again after a failed attempt. One under a key goes to one endpoint
/// only, so its caller is told at once.
fn may_repeat(grant: &Grant, failure: &Failure) -> bool {
    match failure.outcome {
        _ if grant.bound => false,
        Outcome::NotRun => true,
        Outcome::Unknown => grant.repeatable,
        Outcome::Run => false,
    }
}

/// The refusal of a request with earlier attempts, or earlier calls under its key: if one of them may
/// have run, the request is not said to be not run.
fn truthful(ask: &Ask, ran: bool, refusal: Refusal) -> Refusal {
    if ran && refusal.outcome == Outcome::NotRun {
        return Refusal { outcome: Outcome::Unknown, ..refusal };
    }
    if ask.binding.is_none() || !matches!(refusal.status, 422 | 429 | 503) {
        return refusal;
    }
    let message = format!("{}; repeat it with the same Idempotency-Key", refusal.message);
    Refusal { outcome: Outcome::Unknown, message, ..refusal }
}
