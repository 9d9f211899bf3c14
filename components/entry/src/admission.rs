//! Admission control for new requests.

use std::time::{Duration, Instant};

use base::{Rate, WorkspaceId};
use crossbeam_channel::Sender;
use limits::{QueueFull, QueueRequest};
use proto::Outcome;
use quarantine::QuarantineStatus;

use crate::{
    core::Core,
    event::{Decision, Refusal, RequestContext},
    queue::WaitingRequest,
    refusal,
};

/// Maximum fraction of the time left until a request must start that its expected queueing delay
/// may take.
const MAX_WAIT_FRACTION: f64 = 0.8;

impl Core {
    pub(crate) fn handle_arrival(
        &mut self,
        mut context: RequestContext,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        let admitted = self.check_binding(&mut context).and_then(|()| self.admit(&context, now));
        match admitted {
            Ok(workspace) if context.binding.is_some() => {
                self.in_flight += 1;
                self.query_key_owner(context, workspace, reply);
            }
            Ok(workspace) => {
                self.in_flight += 1;
                self.wait_for_endpoint(context, workspace, reply, now);
            }
            Err(refusal) => send_decision(&reply, Decision::Refuse(refusal)),
        }
    }

    pub(crate) fn admit(
        &mut self,
        context: &RequestContext,
        now: Instant,
    ) -> Result<WorkspaceId, Refusal> {
        if self.draining.is_some() {
            return Err(not_run(503, "this entry stops; retry in 1s at another", Some(1)));
        }
        let limits = self.workspaces.by_key(&context.key);
        let limits = limits
            .ok_or_else(|| not_run(401, "the key is not known; use a key of a workspace", None))?;
        if !self.workspaces.has_service(&context.service) {
            let message = format!("service {} does not exist; check the path", context.service);
            return Err(not_run(404, &message, None));
        }
        if self.crash_tracker.status(&context.fingerprint) == QuarantineStatus::Quarantined {
            return Err(refusal::quarantined());
        }
        let rate = Rate(limits.rate.0 * self.quotas.rate_fraction(&limits.id));
        self.rate_limiter.admit(&limits.id, rate, now).map_err(|over| {
            let message = "the workspace is over its rate";
            retry_later(429, message, over.retry_after)
        })?;
        Ok(limits.id.clone())
    }

    /// Queues a new request, or refuses it at once if it is not expected to start in time.
    fn wait_for_endpoint(
        &mut self,
        context: RequestContext,
        workspace: WorkspaceId,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        let key = (context.service.clone(), workspace.clone());
        self.usage.record_arrival(&key, now);
        let limits = self.workspaces.by_id(&workspace);
        let (share, limit) = limits.map_or((0.0, 0), |limits| (limits.share, limits.queue));
        let weight = self.quotas.queue_weight(&key, share);
        let (service, deadline) = (context.service.clone(), context.deadline);
        let backlog = self.backlog(&service, now);
        let cost = backlog.estimator.service_time();
        let start_by = deadline.checked_sub(backlog.estimator.conservative_time()).unwrap_or(now);
        if let Some(wait) = backlog.wait(&workspace, weight)
            && now + wait.div_f64(MAX_WAIT_FRACTION) > start_by
        {
            let message = "the deadline cannot be met, so many requests wait";
            return self.refuse(&reply, retry_later(503, message, wait));
        }
        if backlog.queue.is_empty() {
            backlog.estimator.record_wait_start(now);
        }
        let waiting = WaitingRequest {
            context,
            workspace: workspace.clone(),
            reply: reply.clone(),
            charged: cost,
        };
        let queue_request =
            QueueRequest { item: waiting, workspace, weight, max_waiting: limit, cost, start_by };
        match backlog.queue.push(queue_request) {
            Ok(()) => self.dispatch(&service, now),
            Err(full) => {
                let wait = backlog.estimator.service_time();
                self.refuse(&reply, queue_full(full, wait));
            }
        }
    }

    /// Ends an admitted request with an error.
    pub(crate) fn refuse(&mut self, reply: &Sender<Decision>, refusal: Refusal) {
        self.in_flight -= 1;
        send_decision(reply, Decision::Refuse(refusal));
    }
}

fn queue_full(full: QueueFull, wait: Duration) -> Refusal {
    match full {
        QueueFull::Workspace => retry_later(503, "too many requests of the workspace wait", wait),
        QueueFull::Total => retry_later(503, "too many requests wait", wait),
    }
}

pub(crate) fn not_run(status: u16, message: &str, retry_after: Option<u64>) -> Refusal {
    let outcome = Outcome::NotRun;
    Refusal { status, message: message.to_owned(), outcome, retry_after }
}

/// A refusal of a request that did not run and may be retried after `wait`.
pub(crate) fn retry_later(status: u16, problem: &str, wait: Duration) -> Refusal {
    let seconds = wait.max(proto::MIN_RETRY_AFTER).as_secs_f64().ceil() as u64;
    not_run(status, &format!("{problem}; retry in {seconds}s"), Some(seconds))
}

/// Sends a decision to the thread that handles the request, which always waits for it.
pub(crate) fn send_decision(reply: &Sender<Decision>, decision: Decision) {
    let _ = reply.send(decision);
}
