//! Requests that wait, and the endpoints that they get.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::{AttemptId, ServiceId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use limits::{FairQueue, QueueRequest, ServiceTimeEstimator};
use quarantine::QuarantineStatus;
use routing::PickedEndpoint;

use crate::{
    admission::{decide, later},
    core::Core,
    counts,
    event::{Ask, Decision, Grant},
    refusal,
};

/// Requests of a service that may wait; a workspace below its part may exceed it.
const MAX_QUEUE: usize = 1024;
/// Time without any progress after which the requests of a service are refused.
const STALL: Duration = Duration::from_secs(3);
/// Most requests that wait for one certain endpoint or release.
const MAX_PARKED: usize = 64;

/// Priority of requests that should not wait at the engine.
pub(crate) const URGENT: u8 = 0;
/// Priority of requests of a workspace that has more of them waiting.
const NORMAL: u8 = 1;

/// A request that waits for an endpoint.
pub(crate) struct Waiting {
    pub(crate) ask: Ask,
    pub(crate) workspace: WorkspaceId,
    pub(crate) reply: Sender<Decision>,
    /// Endpoint time that its workspace is charged.
    pub(crate) charged: Duration,
}

/// The requests of one service.
pub(crate) struct Line {
    pub(crate) queue: FairQueue<Waiting>,
    pub(crate) pace: ServiceTimeEstimator,
    /// Requests that only certain endpoints may get, which are not free; they hold up no others.
    pub(crate) parked: Vec<Waiting>,
    /// Most requests at endpoints.
    pub(crate) cap: Option<u32>,
}

impl Line {
    fn new(now: Instant) -> Line {
        Line {
            queue: FairQueue::new(MAX_QUEUE),
            pace: ServiceTimeEstimator::new(now),
            parked: Vec::new(),
            cap: None,
        }
    }

    /// How long a new request would wait; `None` if it is unknown or does not wait.
    pub(crate) fn wait(&self, workspace: &WorkspaceId, weight: f64) -> Option<Duration> {
        if self.queue.is_empty() {
            return None;
        }
        Some(self.queue.estimate_wait(workspace, weight, self.pace.rate()?))
    }

    fn is_capped(&self) -> bool {
        self.cap.is_some_and(|cap| self.pace.in_flight() >= cap)
    }
}

/// An attempt in progress.
pub(crate) struct Running {
    pub(crate) service: ServiceId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) charged: Duration,
    pub(crate) since: Instant,
}

/// Lines by service.
pub(crate) type Lines = HashMap<ServiceId, Line>;
/// Requests that wait out a backoff, by its end.
pub(crate) type Delayed = BTreeMap<(Instant, u64), Waiting>;

impl Core {
    pub(crate) fn line(&mut self, service: &ServiceId, now: Instant) -> &mut Line {
        if !self.lines.contains_key(service) {
            self.lines.insert(service.clone(), Line::new(now));
        }
        self.lines.get_mut(service).expect("it was inserted")
    }

    /// Whether a request waits.
    pub(crate) fn is_idle(&self) -> bool {
        let empty = |line: &Line| line.queue.is_empty() && line.parked.is_empty();
        self.delayed.is_empty() && self.lines.values().all(empty)
    }

    /// Gives endpoints to the requests of a service, by fair shares.
    pub(crate) fn serve(&mut self, service: &ServiceId, now: Instant) {
        self.refuse_late(service, now);
        loop {
            let Some(line) = self.lines.get_mut(service) else { return };
            if line.is_capped() {
                return;
            }
            let Some(waiting) = line.queue.peek() else { return };
            let ask = waiting.ask.clone();
            if self.is_quarantined(&ask) {
                self.refuse_next(service);
                continue;
            }
            let choice = self.choose(&ask, now);
            if choice.is_none() && !self.is_particular(&ask) {
                return;
            }
            let Some(line) = self.lines.get_mut(service) else { return };
            let Some(waiting) = line.queue.pop() else { return };
            match choice {
                Some(choice) => self.go(waiting, choice, now),
                None if line.parked.len() < MAX_PARKED => line.parked.push(waiting),
                None => {
                    let refusal = later(503, "no fitting endpoint is free", Duration::ZERO);
                    self.refuse(&waiting.reply, refusal);
                }
            }
        }
    }

    /// Refuses the next request of a service, which entered quarantine while it waited.
    fn refuse_next(&mut self, service: &ServiceId) {
        let line = self.lines.get_mut(service);
        if let Some(waiting) = line.and_then(|line| line.queue.pop()) {
            self.refuse(&waiting.reply, refusal::quarantined());
        }
    }

    /// Whether only certain endpoints may get a request.
    fn is_particular(&self, ask: &Ask) -> bool {
        ask.release.is_some() || self.is_suspect(ask)
    }

    fn is_suspect(&self, ask: &Ask) -> bool {
        self.ledger.status(&ask.fingerprint) == QuarantineStatus::Suspect
    }

    fn is_quarantined(&self, ask: &Ask) -> bool {
        self.ledger.status(&ask.fingerprint) == QuarantineStatus::Quarantined
    }

    /// Whether a suspect waits. Those in the queue are parked before their turn.
    pub(crate) fn has_suspects(&self) -> bool {
        let parked = self.lines.values().flat_map(|line| &line.parked);
        parked.chain(self.delayed.values()).any(|waiting| self.is_suspect(&waiting.ask))
    }

    /// Looks after all requests that wait: once in every tick.
    pub(crate) fn tick_lines(&mut self, now: Instant) {
        while let Some(slot) = self.delayed.first_entry()
            && slot.key().0 <= now
        {
            let waiting = slot.remove();
            self.push_again(waiting, now);
        }
        let services: Vec<ServiceId> = self.lines.keys().cloned().collect();
        for service in services {
            self.serve(&service, now);
            self.serve_parked(&service, now);
            self.refuse_stalled(&service, now);
        }
    }

    /// Lets a request wait that had an endpoint before.
    fn push_again(&mut self, waiting: Waiting, now: Instant) {
        let service = waiting.ask.service.clone();
        let key = (service.clone(), waiting.workspace.clone());
        let share = self.claims.by_id(&waiting.workspace).map_or(0.0, |claim| claim.share);
        let weight = self.parts.queue_weight(&key, share);
        let workspace = waiting.workspace.clone();
        let deadline = waiting.ask.deadline;
        let line = self.line(&service, now);
        let start_by = deadline.checked_sub(line.pace.conservative_time()).unwrap_or(now);
        if line.queue.is_empty() {
            line.pace.record_wait_start(now);
        }
        let (limit, cost) = (usize::MAX, Duration::ZERO);
        line.queue.push_retry(QueueRequest {
            item: waiting,
            workspace,
            weight,
            max_waiting: limit,
            cost,
            start_by,
        });
    }

    fn serve_parked(&mut self, service: &ServiceId, now: Instant) {
        let Some(line) = self.lines.get_mut(service) else { return };
        for waiting in std::mem::take(&mut line.parked) {
            if now >= waiting.ask.deadline {
                self.refuse(&waiting.reply, missed());
            } else if self.is_quarantined(&waiting.ask) {
                self.refuse(&waiting.reply, refusal::quarantined());
            } else if let Some(choice) = self.choose(&waiting.ask, now) {
                self.go(waiting, choice, now);
            } else if let Some(line) = self.lines.get_mut(service) {
                line.parked.push(waiting);
            }
        }
    }

    /// Refuses requests that can no longer start in time.
    fn refuse_late(&mut self, service: &ServiceId, now: Instant) {
        while let Some(line) = self.lines.get_mut(service)
            && let Some(waiting) = line.queue.pop_overdue(now)
        {
            self.refuse(&waiting.reply, missed());
        }
    }

    /// Refuses all requests of a service that has had no endpoint for a while.
    fn refuse_stalled(&mut self, service: &ServiceId, now: Instant) {
        while let Some(line) = self.lines.get_mut(service)
            && line.pace.is_stalled(STALL, now)
            && let Some(waiting) = line.queue.pop_any()
        {
            let refusal = later(503, "no endpoint serves the service now", STALL);
            self.refuse(&waiting.reply, refusal);
        }
    }

    fn go(&mut self, waiting: Waiting, choice: PickedEndpoint, now: Instant) {
        let Some(grant) = self.grant(&waiting, choice) else {
            let refusal = later(503, "the endpoint has just left", Duration::ZERO);
            return self.refuse(&waiting.reply, refusal);
        };
        counts::attempt(waiting.ask.tried.is_empty());
        self.started(&grant, &waiting, now);
        decide(&waiting.reply, Decision::Go(grant));
    }

    fn started(&mut self, grant: &Grant, waiting: &Waiting, now: Instant) {
        let service = waiting.ask.service.clone();
        self.router.record_start(&grant.choice.vm);
        self.line(&service, now).pace.record_start(now);
        let running = Running {
            service,
            workspace: waiting.workspace.clone(),
            charged: waiting.charged,
            since: now,
        };
        self.running.insert(grant.attempt, running);
    }

    /// Requests that were tried before, and those of workspaces with none waiting, go first.
    fn priority(&self, waiting: &Waiting) -> u8 {
        let line = self.lines.get(&waiting.ask.service);
        let behind = line.is_some_and(|line| line.queue.waiting(&waiting.workspace) > 0);
        if behind && waiting.ask.tried.is_empty() { NORMAL } else { URGENT }
    }

    fn grant(&mut self, waiting: &Waiting, choice: PickedEndpoint) -> Option<Grant> {
        let ask = &waiting.ask;
        let vm = self.pools.vm(&choice.vm)?;
        let service = self.node.documents.manifest().service(&ask.service)?;
        Some(Grant {
            attempt: AttemptId(self.rng.u128(..)),
            stamp: *self.clocks.get(&choice.vm)?,
            data: vm.data,
            control: vm.control,
            workspace: waiting.workspace.clone(),
            repeatable: service.repeatable(&ask.method, &ask.path),
            bound: false,
            priority: self.priority(waiting),
            choice,
        })
    }

    /// An attempt ended; `answered` if its caller got the whole answer.
    pub(crate) fn left(&mut self, attempt: AttemptId, vm: &VmId, answered: bool, now: Instant) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let took = now.saturating_duration_since(running.since);
        let line = self.line(&running.service, now);
        line.pace.record_end(answered.then_some(took), now);
        line.queue.adjust_charge(&running.workspace, running.charged, took);
        if answered {
            self.router.record_response_time(vm, took);
            self.usage.record_served(&(running.service.clone(), running.workspace), now);
        }
        self.serve(&running.service, now);
    }
}

fn missed() -> crate::event::Refusal {
    later(503, "no endpoint was free in time", Duration::ZERO)
}
