//! Queued requests and their assignment to endpoints.

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
    admission::{retry_later, send_decision},
    core::Core,
    counts,
    event::{Assignment, Decision, RequestContext},
    refusal,
};

/// Maximum number of queued requests of a service; a workspace below its share may exceed it.
const MAX_QUEUE: usize = 1024;
/// Time without any progress after which the queued requests of a service are refused.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of requests of a service that wait for specific endpoints.
const MAX_PARKED: usize = 64;

/// Engine priority of requests that should not queue at the engine.
pub(crate) const URGENT: u8 = 0;
/// Engine priority of requests of a workspace that has further requests queued.
const NORMAL: u8 = 1;

/// A request that waits for an endpoint.
pub(crate) struct WaitingRequest {
    pub(crate) context: RequestContext,
    pub(crate) workspace: WorkspaceId,
    pub(crate) reply: Sender<Decision>,
    /// Endpoint time that is charged to its workspace in advance.
    pub(crate) charged: Duration,
}

/// Queued requests of one service.
pub(crate) struct Backlog {
    pub(crate) queue: FairQueue<WaitingRequest>,
    pub(crate) estimator: ServiceTimeEstimator,
    /// Requests that need specific endpoints, none of which is free; they do not block the queue.
    pub(crate) parked: Vec<WaitingRequest>,
    /// Maximum number of requests in flight; `None` means no limit.
    pub(crate) max_in_flight: Option<u32>,
}

impl Backlog {
    fn new(now: Instant) -> Backlog {
        Backlog {
            queue: FairQueue::new(MAX_QUEUE),
            estimator: ServiceTimeEstimator::new(now),
            parked: Vec::new(),
            max_in_flight: None,
        }
    }

    /// Expected queueing delay of a new request; `None` if it is unknown or the queue is empty.
    pub(crate) fn wait(&self, workspace: &WorkspaceId, weight: f64) -> Option<Duration> {
        if self.queue.is_empty() {
            return None;
        }
        Some(self.queue.estimate_wait(workspace, weight, self.estimator.rate()?))
    }

    fn is_at_capacity(&self) -> bool {
        self.max_in_flight.is_some_and(|max_in_flight| self.estimator.in_flight() >= max_in_flight)
    }
}

/// An attempt in progress.
pub(crate) struct RunningAttempt {
    pub(crate) service: ServiceId,
    pub(crate) workspace: WorkspaceId,
    pub(crate) charged: Duration,
    pub(crate) since: Instant,
}

/// Backlogs by service.
pub(crate) type Backlogs = HashMap<ServiceId, Backlog>;
/// Requests that wait for their retry backoff, ordered by its end.
pub(crate) type Delayed = BTreeMap<(Instant, u64), WaitingRequest>;

impl Core {
    pub(crate) fn backlog(&mut self, service: &ServiceId, now: Instant) -> &mut Backlog {
        if !self.backlogs.contains_key(service) {
            self.backlogs.insert(service.clone(), Backlog::new(now));
        }
        self.backlogs.get_mut(service).expect("it was inserted")
    }

    /// Whether no request is queued, parked or waiting for a retry.
    pub(crate) fn is_idle(&self) -> bool {
        let empty = |backlog: &Backlog| backlog.queue.is_empty() && backlog.parked.is_empty();
        self.delayed.is_empty() && self.backlogs.values().all(empty)
    }

    /// Assigns endpoints to the queued requests of a service, in fair-queueing order.
    pub(crate) fn dispatch(&mut self, service: &ServiceId, now: Instant) {
        self.refuse_late(service, now);
        loop {
            let Some(backlog) = self.backlogs.get_mut(service) else { return };
            if backlog.is_at_capacity() {
                return;
            }
            let Some(waiting) = backlog.queue.peek() else { return };
            let context = waiting.context.clone();
            if self.is_quarantined(&context) {
                self.refuse_quarantined(service);
                continue;
            }
            let endpoint = self.choose(&context, now);
            if endpoint.is_none() && !self.needs_specific_endpoint(&context) {
                return;
            }
            let Some(backlog) = self.backlogs.get_mut(service) else { return };
            let Some(waiting) = backlog.queue.pop() else { return };
            match endpoint {
                Some(endpoint) => self.assign(waiting, endpoint, now),
                None if backlog.parked.len() < MAX_PARKED => backlog.parked.push(waiting),
                None => {
                    let refusal = retry_later(503, "no fitting endpoint is free", Duration::ZERO);
                    self.refuse(&waiting.reply, refusal);
                }
            }
        }
    }

    /// Refuses the next request of a service, which was quarantined while it was queued.
    fn refuse_quarantined(&mut self, service: &ServiceId) {
        let backlog = self.backlogs.get_mut(service);
        if let Some(waiting) = backlog.and_then(|backlog| backlog.queue.pop()) {
            self.refuse(&waiting.reply, refusal::quarantined());
        }
    }

    /// Whether a request may run only at specific endpoints.
    fn needs_specific_endpoint(&self, context: &RequestContext) -> bool {
        context.release.is_some() || self.is_suspect(context)
    }

    fn is_suspect(&self, context: &RequestContext) -> bool {
        self.crash_tracker.status(&context.fingerprint) == QuarantineStatus::Suspect
    }

    fn is_quarantined(&self, context: &RequestContext) -> bool {
        self.crash_tracker.status(&context.fingerprint) == QuarantineStatus::Quarantined
    }

    /// Whether a suspect request waits. Suspects in the queue are parked when they reach its head.
    pub(crate) fn has_suspects(&self) -> bool {
        let parked = self.backlogs.values().flat_map(|backlog| &backlog.parked);
        parked.chain(self.delayed.values()).any(|waiting| self.is_suspect(&waiting.context))
    }

    /// Processes all waiting requests; called on every tick.
    pub(crate) fn tick_backlogs(&mut self, now: Instant) {
        while let Some(slot) = self.delayed.first_entry()
            && slot.key().0 <= now
        {
            let waiting = slot.remove();
            self.requeue(waiting, now);
        }
        let services: Vec<ServiceId> = self.backlogs.keys().cloned().collect();
        for service in services {
            self.dispatch(&service, now);
            self.dispatch_parked(&service, now);
            self.refuse_stalled(&service, now);
        }
    }

    /// Puts a request back into the queue after a failed attempt.
    fn requeue(&mut self, waiting: WaitingRequest, now: Instant) {
        let service = waiting.context.service.clone();
        let key = (service.clone(), waiting.workspace.clone());
        let share = self.workspaces.by_id(&waiting.workspace).map_or(0.0, |limits| limits.share);
        let weight = self.quotas.queue_weight(&key, share);
        let workspace = waiting.workspace.clone();
        let deadline = waiting.context.deadline;
        let backlog = self.backlog(&service, now);
        let start_by = deadline.checked_sub(backlog.estimator.conservative_time()).unwrap_or(now);
        if backlog.queue.is_empty() {
            backlog.estimator.record_wait_start(now);
        }
        let (limit, cost) = (usize::MAX, Duration::ZERO);
        backlog.queue.push_retry(QueueRequest {
            item: waiting,
            workspace,
            weight,
            max_waiting: limit,
            cost,
            start_by,
        });
    }

    fn dispatch_parked(&mut self, service: &ServiceId, now: Instant) {
        let Some(backlog) = self.backlogs.get_mut(service) else { return };
        for waiting in std::mem::take(&mut backlog.parked) {
            if now >= waiting.context.deadline {
                self.refuse(&waiting.reply, no_endpoint_in_time());
            } else if self.is_quarantined(&waiting.context) {
                self.refuse(&waiting.reply, refusal::quarantined());
            } else if let Some(endpoint) = self.choose(&waiting.context, now) {
                self.assign(waiting, endpoint, now);
            } else if let Some(backlog) = self.backlogs.get_mut(service) {
                backlog.parked.push(waiting);
            }
        }
    }

    /// Refuses queued requests that can no longer start in time.
    fn refuse_late(&mut self, service: &ServiceId, now: Instant) {
        while let Some(backlog) = self.backlogs.get_mut(service)
            && let Some(waiting) = backlog.queue.pop_overdue(now)
        {
            self.refuse(&waiting.reply, no_endpoint_in_time());
        }
    }

    /// Refuses all queued requests of a service whose queue has stalled.
    fn refuse_stalled(&mut self, service: &ServiceId, now: Instant) {
        while let Some(backlog) = self.backlogs.get_mut(service)
            && backlog.estimator.is_stalled(STALL_TIMEOUT, now)
            && let Some(waiting) = backlog.queue.pop_any()
        {
            let refusal = retry_later(503, "no endpoint serves the service now", STALL_TIMEOUT);
            self.refuse(&waiting.reply, refusal);
        }
    }

    fn assign(&mut self, waiting: WaitingRequest, endpoint: PickedEndpoint, now: Instant) {
        let Some(assignment) = self.assignment_for(&waiting, endpoint) else {
            let refusal = retry_later(503, "the endpoint has just left", Duration::ZERO);
            return self.refuse(&waiting.reply, refusal);
        };
        counts::attempt(waiting.context.tried.is_empty());
        self.record_start(&assignment, &waiting, now);
        send_decision(&waiting.reply, Decision::Assign(assignment));
    }

    fn record_start(&mut self, assignment: &Assignment, waiting: &WaitingRequest, now: Instant) {
        let service = waiting.context.service.clone();
        self.router.record_start(&assignment.endpoint.vm);
        self.backlog(&service, now).estimator.record_start(now);
        let running = RunningAttempt {
            service,
            workspace: waiting.workspace.clone(),
            charged: waiting.charged,
            since: now,
        };
        self.running.insert(assignment.attempt, running);
    }

    /// Retried requests, and those of workspaces with no other request queued, take precedence.
    fn priority(&self, waiting: &WaitingRequest) -> u8 {
        let backlog = self.backlogs.get(&waiting.context.service);
        let behind = backlog.is_some_and(|backlog| backlog.queue.waiting(&waiting.workspace) > 0);
        if behind && waiting.context.tried.is_empty() { NORMAL } else { URGENT }
    }

    fn assignment_for(
        &mut self,
        waiting: &WaitingRequest,
        endpoint: PickedEndpoint,
    ) -> Option<Assignment> {
        let context = &waiting.context;
        let vm = self.pools.vm(&endpoint.vm)?;
        let service = self.node.documents.manifest().service(&context.service)?;
        Some(Assignment {
            attempt: AttemptId(self.rng.u128(..)),
            stamp: *self.agent_clocks.get(&endpoint.vm)?,
            data: vm.data,
            control: vm.control,
            workspace: waiting.workspace.clone(),
            repeatable: service.is_retryable(&context.method, &context.path),
            pinned: false,
            priority: self.priority(waiting),
            endpoint,
        })
    }

    /// Accounts for an attempt that ended; `answered` tells whether the caller got the complete
    /// response.
    pub(crate) fn finish_attempt(
        &mut self,
        attempt: AttemptId,
        vm: &VmId,
        answered: bool,
        now: Instant,
    ) {
        let Some(running) = self.running.remove(&attempt) else { return };
        let took = now.saturating_duration_since(running.since);
        let backlog = self.backlog(&running.service, now);
        backlog.estimator.record_end(answered.then_some(took), now);
        backlog.queue.adjust_charge(&running.workspace, running.charged, took);
        if answered {
            self.router.record_response_time(vm, took);
            self.usage.record_served(&(running.service.clone(), running.workspace), now);
        }
        self.dispatch(&running.service, now);
    }
}

fn no_endpoint_in_time() -> crate::event::Refusal {
    retry_later(503, "no endpoint was free in time", Duration::ZERO)
}
