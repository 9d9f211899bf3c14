//! Admission of requests.

use std::time::{Duration, Instant};

use base::{Rate, WorkspaceId};
use crossbeam_channel::Sender;
use limits::{QueueFull, QueueRequest};
use proto::Outcome;
use quarantine::QuarantineStatus;

use crate::{
    core::Core,
    event::{Ask, Decision, Refusal},
    queue::Waiting,
    refusal,
};

/// Part of the time before a deadline that the expected wait may take.
const WAIT_PART: f64 = 0.8;

impl Core {
    pub(crate) fn arrived(&mut self, mut ask: Ask, reply: Sender<Decision>, now: Instant) {
        let admitted = self.check_binding(&mut ask).and_then(|()| self.admit(&ask, now));
        match admitted {
            Ok(workspace) if ask.binding.is_some() => {
                self.in_flight += 1;
                self.bind(ask, workspace, reply);
            }
            Ok(workspace) => {
                self.in_flight += 1;
                self.wait_for_endpoint(ask, workspace, reply, now);
            }
            Err(refusal) => decide(&reply, Decision::Refuse(refusal)),
        }
    }

    pub(crate) fn admit(&mut self, ask: &Ask, now: Instant) -> Result<WorkspaceId, Refusal> {
        if self.draining.is_some() {
            return Err(not_run(503, "this entry stops; retry in 1s at another", Some(1)));
        }
        let claim = self.claims.by_key(&ask.key);
        let claim = claim
            .ok_or_else(|| not_run(401, "the key is not known; use a key of a workspace", None))?;
        if !self.claims.has_service(&ask.service) {
            let message = format!("service {} does not exist; check the path", ask.service);
            return Err(not_run(404, &message, None));
        }
        if self.ledger.status(&ask.fingerprint) == QuarantineStatus::Quarantined {
            return Err(refusal::quarantined());
        }
        let rate = Rate(claim.rate.0 * self.parts.rate_fraction(&claim.id));
        self.admission.admit(&claim.id, rate, now).map_err(|over| {
            let message = "the workspace is over its rate";
            later(429, message, over.retry_after)
        })?;
        Ok(claim.id.clone())
    }

    /// Lets a new request wait, or refuses it at once if it would wait in vain.
    fn wait_for_endpoint(
        &mut self,
        ask: Ask,
        workspace: WorkspaceId,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        let key = (ask.service.clone(), workspace.clone());
        self.usage.record_arrival(&key, now);
        let claim = self.claims.by_id(&workspace);
        let (share, limit) = claim.map_or((0.0, 0), |c| (c.share, c.queue));
        let weight = self.parts.queue_weight(&key, share);
        let (service, deadline) = (ask.service.clone(), ask.deadline);
        let line = self.line(&service, now);
        let cost = line.pace.service_time();
        let start_by = deadline.checked_sub(line.pace.conservative_time()).unwrap_or(now);
        if let Some(wait) = line.wait(&workspace, weight)
            && now + wait.div_f64(WAIT_PART) > start_by
        {
            let message = "the deadline cannot be met, so many requests wait";
            return self.refuse(&reply, later(503, message, wait));
        }
        if line.queue.is_empty() {
            line.pace.record_wait_start(now);
        }
        let waiting =
            Waiting { ask, workspace: workspace.clone(), reply: reply.clone(), charged: cost };
        let entrant =
            QueueRequest { item: waiting, workspace, weight, max_waiting: limit, cost, start_by };
        match line.queue.push(entrant) {
            Ok(()) => self.serve(&service, now),
            Err(full) => {
                let wait = line.pace.service_time();
                self.refuse(&reply, is_full(full, wait));
            }
        }
    }

    /// Ends a request with an error.
    pub(crate) fn refuse(&mut self, reply: &Sender<Decision>, refusal: Refusal) {
        self.in_flight -= 1;
        decide(reply, Decision::Refuse(refusal));
    }
}

fn is_full(full: QueueFull, wait: Duration) -> Refusal {
    match full {
        QueueFull::Workspace => later(503, "too many requests of the workspace wait", wait),
        QueueFull::Total => later(503, "too many requests wait", wait),
    }
}

pub(crate) fn not_run(status: u16, message: &str, retry_after: Option<u64>) -> Refusal {
    let outcome = Outcome::NotRun;
    Refusal { status, message: message.to_owned(), outcome, retry_after }
}

/// A refusal of a request that did not run and may come back after `wait`.
pub(crate) fn later(status: u16, problem: &str, wait: Duration) -> Refusal {
    let seconds = wait.max(proto::MIN_RETRY_AFTER).as_secs_f64().ceil() as u64;
    not_run(status, &format!("{problem}; retry in {seconds}s"), Some(seconds))
}

/// Answers the thread that handles a request; it always waits for the answer.
pub(crate) fn decide(reply: &Sender<Decision>, decision: Decision) {
    let _ = reply.send(decision);
}
