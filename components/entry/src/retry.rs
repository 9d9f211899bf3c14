//! Ended attempts and retries of requests.

use std::time::{Duration, Instant};

use base::{AttemptId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use proto::Outcome;
use quarantine::QuarantineStatus;
use routing::EndpointOutcome;

use crate::{
    core::Core,
    counts,
    event::{Decision, Failure, Refusal, RequestContext},
    queue::WaitingRequest,
    refusal,
};

impl Core {
    /// Handles a failed attempt whose request may be retried.
    pub(crate) fn handle_retry(
        &mut self,
        context: RequestContext,
        last: &Failure,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        self.report_attempt_end(&last.vm, last.endpoint_outcome(), now);
        self.finish_attempt(last.attempt, &last.vm, false, now);
        self.handle_failure(last, now);
        match self.plan_retry(&context, last, now) {
            Ok((backoff, workspace)) => {
                self.delay_seq += 1;
                // The first attempt has already been charged for the time that it took.
                let waiting = WaitingRequest { context, workspace, reply, charged: Duration::ZERO };
                self.delayed.insert((now + backoff, self.delay_seq), waiting);
            }
            Err(refusal) => self.refuse(&reply, refusal),
        }
    }

    /// Decides whether a request is retried; returns the backoff and the workspace.
    fn plan_retry(
        &mut self,
        context: &RequestContext,
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
        let workspace = self.workspaces.by_key(&context.key).map(|limits| limits.id.clone());
        let workspace = workspace.ok_or_else(|| refuse(401, "the key is not known any more"))?;
        if self.crash_tracker.status(&context.fingerprint) == QuarantineStatus::Quarantined {
            return Err(Refusal { outcome, ..refusal::quarantined() });
        }
        let service_time = self.backlog(&context.service, now).estimator.conservative_time();
        let budget = match last.endpoint_outcome() {
            EndpointOutcome::Full => &mut self.reroutes,
            _ => &mut self.retries,
        };
        let backoff = budget.try_take(context.tried.len() as u32, &mut self.rng);
        counts::retry(backoff.is_some());
        let backoff = backoff.ok_or_else(|| refuse(503, "too many requests fail; retry in 1s"))?;
        if now + backoff + service_time > context.deadline {
            return Err(refuse(503, "no time is left to try again; retry in 1s"));
        }
        Ok((backoff, workspace))
    }

    /// Accounts for a request that ended with its last attempt.
    pub(crate) fn finish_request(
        &mut self,
        attempt: AttemptId,
        vm: &VmId,
        endpoint_outcome: EndpointOutcome,
        answered: bool,
        now: Instant,
    ) {
        self.in_flight -= 1;
        if answered {
            self.retries.record_success();
            self.reroutes.record_success();
        }
        self.isolated.finished(vm);
        self.report_attempt_end(vm, endpoint_outcome, now);
        self.finish_attempt(attempt, vm, answered, now);
    }

    fn report_attempt_end(&mut self, vm: &VmId, endpoint_outcome: EndpointOutcome, now: Instant) {
        if self.router.record_result(vm, endpoint_outcome, now) {
            self.poll_endpoint(vm, now);
        }
    }
}

impl Failure {
    /// How the failure affects the health of the endpoint.
    pub(crate) fn endpoint_outcome(&self) -> EndpointOutcome {
        match (self.endpoint_fault, self.outcome) {
            (false, _) => EndpointOutcome::Full,
            (true, Outcome::NotRun) => EndpointOutcome::Refused,
            (true, Outcome::Run | Outcome::Unknown) => EndpointOutcome::Failed,
        }
    }
}
