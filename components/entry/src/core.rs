//! The entry's actor: admits requests, queues them and selects endpoints.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use audit::Change;
use base::{AttemptId, ReleaseId, RolloutId, VmId};
use fastrand::Rng;
use limits::{LocalQuotas, RateLimiter, RetryBudget, RetrySettings, UsageGossip, UsageSettings};
use net::Mailbox;
use node::{LocalState, Node, NodeEvent};
use placement::{InputsFingerprint, Placement, place};
use proto::MemberState;
use quarantine::{CrashTracker, CrashTrackerSettings};
use routing::{EndpointOutcome, Router, RouterSettings};
use stakker::{CX, after, stop};

use crate::{
    counts,
    event::Event,
    pools::Pools,
    queue::{Backlogs, Delayed, RunningAttempt},
    suspects::{CrashBroadcast, IsolatedEndpoints},
    workspaces::Workspaces,
};

/// Budget for reroutes. The retry and reroute budgets together stay below a fifth of the successful
/// requests.
const REROUTE_BUDGET: RetrySettings = RetrySettings {
    ratio: 0.08,
    burst: 10.0,
    backoff: Duration::from_millis(20),
    max_backoff: Duration::from_secs(1),
};
/// Interval of the periodic work, such as processing the queues.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval at which the entry checks whether gossip is due.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Time without activity after which the process counts as paused and the endpoints are polled
/// again.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// The state of the actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) router: Router,
    pub(crate) rate_limiter: RateLimiter,
    /// Budget for retries after endpoint faults.
    pub(crate) retries: RetryBudget,
    /// Budget for retries after an endpoint had no free slot, which is not a fault of the endpoint.
    pub(crate) reroutes: RetryBudget,
    pub(crate) crash_tracker: CrashTracker,
    pub(crate) isolated: IsolatedEndpoints,
    pub(crate) crash_broadcast: CrashBroadcast,
    pub(crate) placement: Placement,
    /// What `placement` was computed from.
    pub(crate) inputs: InputsFingerprint,
    /// Last reported clock of each agent, in milliseconds.
    pub(crate) agent_clocks: HashMap<VmId, u64>,
    pub(crate) workspaces: Workspaces,
    pub(crate) pools: Pools,
    pub(crate) usage: UsageGossip,
    pub(crate) quotas: LocalQuotas,
    pub(crate) backlogs: Backlogs,
    pub(crate) delayed: Delayed,
    /// Sequence number that makes the keys of `delayed` unique.
    pub(crate) delay_seq: u64,
    pub(crate) running: HashMap<AttemptId, RunningAttempt>,
    /// Number of requests that are queued or running.
    pub(crate) in_flight: usize,
    pub(crate) draining: Option<Instant>,
    /// When this process last handled an event or a tick.
    pub(crate) last_active: Instant,
    /// When this process last detected that it had been paused; state from before may be outdated.
    pub(crate) resumed_at: Instant,
    pub(crate) next_gossip: Instant,
    /// When the next agent is polled.
    pub(crate) next_poll: Instant,
    /// Agents in polling order.
    pub(crate) poll_order: VecDeque<VmId>,
    /// When each agent was last polled.
    pub(crate) last_polled: HashMap<VmId, Instant>,
    /// Since when each rollout has wanted its current release.
    pub(crate) wanted_since: Vec<(RolloutId, ReleaseId, Instant)>,
    pub(crate) rng: Rng,
}

impl Core {
    pub(crate) fn init(cx: CX![], node: Node, mailbox: Mailbox<Event>) -> Option<Self> {
        let now = cx.now();
        let settings = &node.identity.settings;
        let (zone, me) = (settings.zone.clone(), settings.vm.clone());
        let policy = settings.entry.as_ref().map(|entry| entry.policy).unwrap_or_default();
        let routing = RouterSettings { policy, ..RouterSettings::default() };
        after!(TICK_INTERVAL, [cx], tick());
        Some(Core {
            node,
            mailbox,
            router: Router::new(zone, routing, Rng::new()),
            rate_limiter: RateLimiter::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            reroutes: RetryBudget::new(REROUTE_BUDGET),
            crash_tracker: CrashTracker::new(CrashTrackerSettings::default()),
            isolated: IsolatedEndpoints::default(),
            crash_broadcast: CrashBroadcast::new(now),
            placement: Placement::default(),
            inputs: InputsFingerprint::default(),
            agent_clocks: HashMap::new(),
            workspaces: Workspaces::default(),
            pools: Pools::default(),
            usage: UsageGossip::new(me, UsageSettings::default(), now),
            quotas: LocalQuotas::even(1),
            backlogs: Backlogs::new(),
            delayed: Delayed::new(),
            delay_seq: 0,
            running: HashMap::new(),
            in_flight: 0,
            draining: None,
            last_active: now,
            resumed_at: now,
            next_gossip: now,
            next_poll: now,
            poll_order: VecDeque::new(),
            last_polled: HashMap::new(),
            wanted_since: Vec::new(),
            rng: Rng::new(),
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        self.detect_pause(now);
        match event {
            Event::Peer(call) => self.handle_peer_call(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Endpoint { vm, state: Some(state) } if state.vm == vm => {
                let service = state.serving.as_ref().map(|serving| serving.service.clone());
                self.agent_clocks.insert(vm, state.clock);
                self.router.observe(state, now);
                if let Some(service) = service {
                    self.dispatch(&service, now);
                }
            }
            Event::Endpoint { vm, .. } => {
                self.router.mark_unresponsive(&vm);
                self.node.members.suspect(&vm, now);
            }
            Event::Arrived { context, reply } => self.handle_arrival(context, reply, now),
            Event::Retry { context, last, reply } => self.handle_retry(context, &last, reply, now),
            Event::Pinned(pinned) => self.handle_pinned(*pinned, now),
            Event::Lost { last } => self.handle_loss(&last, now),
            Event::Answered { vm, attempt, fingerprint } => {
                self.crash_tracker.record_answer(&fingerprint);
                self.finish_request(attempt, &vm, EndpointOutcome::Succeeded, true, now);
            }
            Event::Ended { vm, attempt } => {
                self.finish_request(attempt, &vm, EndpointOutcome::Succeeded, false, now);
            }
            Event::Crashes(records) => self.record_crashes(&records, now),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    /// Detects that this process was paused, and polls all endpoints again before any decision is
    /// made.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_active) > PAUSE_THRESHOLD {
            self.resumed_at = now;
            self.poll_endpoints(now);
        }
        self.last_active = now;
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.detect_pause(now);
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.node.tick(now);
            self.update_candidates(now);
            let queued = self.backlogs.values().map(|backlog| backlog.queue.len()).sum();
            counts::load(self.in_flight, queued);
            for digest in self.crash_tracker.remove_expired(now) {
                let change = Change::Released { fingerprint: digest.to_string() };
                self.node.trail.record(change, "expired");
            }
        }
        self.poll_next(now);
        self.exchange_usage(now);
        self.broadcast_crashes(now);
        self.release_unused(now);
        self.tick_backlogs(now);
        self.stop_if_drained(cx);
        after!(TICK_INTERVAL, [cx], tick());
    }

    pub(crate) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.publish_state(LocalState::without_release(MemberState::Leaving));
        }
    }

    pub(crate) fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        let idle = self.in_flight == 0 && self.is_idle();
        if idle || cx.now() >= until {
            stop!(cx);
        }
    }

    pub(crate) fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        if !changes.manifest && !changes.vms {
            return;
        }
        let inputs =
            InputsFingerprint::of(self.node.documents.manifest(), self.node.documents.vms());
        if inputs != self.inputs {
            self.inputs = inputs;
            self.placement = place(self.node.documents.manifest(), self.node.documents.vms());
        }
        self.workspaces = Workspaces::of(self.node.documents.manifest());
        let workspaces = &self.workspaces;
        self.rate_limiter.retain(|id| workspaces.by_id(id).is_some());
        self.usage.retain(|id| workspaces.by_id(id).is_some());
        for backlog in self.backlogs.values_mut() {
            backlog.queue.retain(|id| workspaces.by_id(id).is_some());
        }
        let vms = self.node.documents.vms();
        self.agent_clocks.retain(|vm, _| vms.get(vm).is_some());
        self.track_releases(now);
        self.update_pools(now);
    }
}
