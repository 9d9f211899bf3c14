//! Attempts that ended, and requests that are tried again.

use std::time::{Duration, Instant};

use base::{AttemptId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use proto::Outcome;
use quarantine::QuarantineStatus;
use routing::EndpointOutcome;

use crate::{
    core::Core,
    counts,
    event::{Ask, Decision, Failure, Refusal},
    queue::Waiting,
    refusal,
};

impl Core {
    /// An attempt failed, and its request may be tried again.
    pub(crate) fn again(
        &mut self,
        ask: Ask,
        last: &Failure,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        self.attempt_ended(&last.vm, last.end(), now);
        self.left(last.attempt, &last.vm, false, now);
        self.suspect(last, now);
        match self.retry(&ask, last, now) {
            Ok((backoff, workspace)) => {
                self.delays += 1;
                // The first attempt was charged with the time that it took.
                let waiting = Waiting { ask, workspace, reply, charged: Duration::ZERO };
                self.delayed.insert((now + backoff, self.delays), waiting);
            }
            Err(refusal) => self.refuse(&reply, refusal),
        }
    }

    /// Decides whether a request is tried again; returns the backoff before.
    fn retry(
        &mut self,
        ask: &Ask,
        last: &Failure,
        now: Instant,
    ) -> Result<(Duration, WorkspaceId), Refusal> {
        let outcome = last.outcome;
        let refuse = |status, message: &str| Refusal {
            status,
            message: message.to_owned(),
            outcome,
            retry_after: Some(1),
        };
        let workspace = self.claims.by_key(&ask.key).map(|claim| claim.id.clone());
        let workspace = workspace.ok_or_else(|| refuse(401, "the key is not known any more"))?;
        if self.ledger.status(&ask.fingerprint) == QuarantineStatus::Quarantined {
            return Err(Refusal { outcome, ..refusal::quarantined() });
        }
        let service_time = self.line(&ask.service, now).pace.conservative_time();
        let budget = match last.end() {
            EndpointOutcome::Full => &mut self.reroutes,
            _ => &mut self.retries,
        };
        let backoff = budget.try_take(ask.tried.len() as u32, &mut self.rng);
        counts::retry(backoff.is_some());
        let backoff = backoff.ok_or_else(|| refuse(503, "too many requests fail; retry in 1s"))?;
        if now + backoff + service_time > ask.deadline {
            return Err(refuse(503, "no time is left to try again; retry in 1s"));
        }
        Ok((backoff, workspace))
    }

    /// A request ended with its attempt.
    pub(crate) fn ended(
        &mut self,
        attempt: AttemptId,
        vm: &VmId,
        end: EndpointOutcome,
        answered: bool,
        now: Instant,
    ) {
        self.in_flight -= 1;
        if answered {
            self.retries.record_success();
            self.reroutes.record_success();
        }
        self.lanes.finished(vm);
        self.attempt_ended(vm, end, now);
        self.left(attempt, vm, answered, now);
    }

    fn attempt_ended(&mut self, vm: &VmId, end: EndpointOutcome, now: Instant) {
        if self.router.record_result(vm, end, now) {
            self.ask_endpoint(vm, now);
        }
    }
}

impl Failure {
    /// What the attempt tells of the endpoint.
    pub(crate) fn end(&self) -> EndpointOutcome {
        match (self.fault, self.outcome) {
            (false, _) => EndpointOutcome::Full,
            (true, Outcome::NotRun) => EndpointOutcome::Refused,
            (true, Outcome::Run | Outcome::Unknown) => EndpointOutcome::Failed,
        }
    }
}
