//! Admission of requests, the queue, and retries.

use std::time::Instant;

use base::{AttemptId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use manifest::{Role, VmState};
use proto::Outcome;
use quarantine::Verdict;

use crate::{
    core::{Core, Waiting},
    event::{Ask, Decision, Failure, Grant, Refusal},
    refusal,
};

/// Most requests that wait for an endpoint.
const MAX_QUEUE: usize = 1024;

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
                self.queue.push_back(Waiting { ask, workspace, reply, not_before: now });
                self.serve_queue(now);
            }
            Err(refusal) => decide(&reply, Decision::Refuse(refusal)),
        }
    }

    pub(crate) fn admit(&mut self, ask: &Ask, now: Instant) -> Result<WorkspaceId, Refusal> {
        if self.draining.is_some() {
            return Err(not_run(503, "this entry stops; retry in 1s at another", Some(1)));
        }
        let manifest = self.node.documents.manifest();
        let workspace = manifest.workspace_of(&ask.key).map(|w| w.id.clone());
        let workspace = workspace
            .ok_or_else(|| not_run(401, "the key is not known; use a key of a workspace", None))?;
        if manifest.service(&ask.service).is_none() {
            let message = format!("service {} does not exist; check the path", ask.service);
            return Err(not_run(404, &message, None));
        }
        if self.ledger.verdict(&ask.fingerprint) == Verdict::Quarantined {
            return Err(refusal::quarantined());
        }
        let entries = self.live_entries();
        let part = 1.0 / entries.max(1) as f64;
        self.admission.admit(manifest, &workspace, part, now).map_err(|refusal| match refusal {
            limits::Refusal::Unknown => not_run(401, "the workspace is gone; use another", None),
            limits::Refusal::Rate { retry } => {
                let seconds = retry.as_secs() + 1;
                let message = format!("the workspace is over its rate; retry in {seconds}s");
                not_run(429, &message, Some(seconds))
            }
        })?;
        if self.queue.len() >= MAX_QUEUE {
            return Err(not_run(503, "too many requests wait; retry in 1s", Some(1)));
        }
        Ok(workspace)
    }

    pub(crate) fn live_entries(&self) -> usize {
        let vms = &self.node.documents.vms().vms;
        vms.iter().filter(|vm| vm.role == Role::Entry && vm.state == VmState::Live).count()
    }

    /// Gives endpoints to the requests that wait, oldest first.
    pub(crate) fn serve_queue(&mut self, now: Instant) {
        for _ in 0..self.queue.len() {
            let Some(waiting) = self.queue.pop_front() else { break };
            if now >= waiting.ask.deadline {
                self.in_flight -= 1;
                let refusal = not_run(503, "no endpoint was free in time; retry in 1s", Some(1));
                decide(&waiting.reply, Decision::Refuse(refusal));
                continue;
            }
            if self.ledger.verdict(&waiting.ask.fingerprint) == Verdict::Quarantined {
                self.in_flight -= 1;
                decide(&waiting.reply, Decision::Refuse(refusal::quarantined()));
                continue;
            }
            if now < waiting.not_before {
                self.queue.push_back(waiting);
                continue;
            }
            match self.grant(&waiting, now) {
                Some(grant) => {
                    self.router.started(&grant.choice.vm);
                    decide(&waiting.reply, Decision::Go(grant));
                }
                None => self.queue.push_back(waiting),
            }
        }
    }

    pub(crate) fn grant(&mut self, waiting: &Waiting, now: Instant) -> Option<Grant> {
        let ask = &waiting.ask;
        let choice = self.choose(ask, now)?;
        let vm = self.node.documents.vms().get(&choice.vm)?;
        let service = self.node.documents.manifest().service(&ask.service)?;
        Some(Grant {
            attempt: AttemptId(self.rng.u128(..)),
            stamp: *self.clocks.get(&choice.vm)?,
            data: vm.data,
            control: vm.control,
            workspace: waiting.workspace.clone(),
            repeatable: service.repeatable(&ask.method, &ask.path),
            bound: false,
            choice,
        })
    }

    pub(crate) fn again(
        &mut self,
        ask: Ask,
        last: &Failure,
        reply: Sender<Decision>,
        now: Instant,
    ) {
        self.router.finished(&last.vm, last.fault, now);
        self.suspect(last, now);
        match self.retry(&ask, last, now) {
            Ok((workspace, not_before)) => {
                self.queue.push_back(Waiting { ask, workspace, reply, not_before });
                self.serve_queue(now);
            }
            Err(refusal) => {
                self.in_flight -= 1;
                decide(&reply, Decision::Refuse(refusal));
            }
        }
    }

    pub(crate) fn retry(
        &mut self,
        ask: &Ask,
        last: &Failure,
        now: Instant,
    ) -> Result<(WorkspaceId, Instant), Refusal> {
        let outcome = last.outcome;
        let refuse = |status, message: &str| Refusal {
            status,
            message: message.to_owned(),
            outcome,
            retry_after: Some(1),
        };
        let manifest = self.node.documents.manifest();
        let workspace = manifest.workspace_of(&ask.key).map(|w| w.id.clone());
        let workspace = workspace.ok_or_else(|| refuse(401, "the key is not known any more"))?;
        if self.ledger.verdict(&ask.fingerprint) == Verdict::Quarantined {
            return Err(refusal::quarantined());
        }
        let nth = ask.tried.len() as u32;
        let backoff = self.retries.take(nth, &mut self.rng);
        let backoff = backoff.ok_or_else(|| refuse(503, "too many requests fail; retry in 1s"))?;
        Ok((workspace, now + backoff))
    }

    pub(crate) fn ended(&mut self, vm: &VmId, failed: bool, now: Instant) {
        self.lanes.finished(vm);
        self.router.finished(vm, failed, now);
        self.in_flight -= 1;
        self.serve_queue(now);
    }
}

fn not_run(status: u16, message: &str, retry_after: Option<u64>) -> Refusal {
    let outcome = Outcome::NotRun;
    Refusal { status, message: message.to_owned(), outcome, retry_after }
}

/// Answers the thread that handles a request; it always waits for the answer.
fn decide(reply: &Sender<Decision>, decision: Decision) {
    let _ = reply.send(decision);
}
