//! The entry's actor: admits requests, queues them and chooses endpoints.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use audit::Change;
use base::{AttemptId, ReleaseId, RolloutId, VmId};
use fastrand::Rng;
use limits::{LocalQuotas, RateLimiter, RetryBudget, RetrySettings, UsageGossip, UsageSettings};
use net::Mailbox;
use node::{Node, NodeEvent, Stated};
use placement::{Inputs, Placement, place};
use proto::MemberState;
use quarantine::{CrashTracker, CrashTrackerSettings};
use routing::{EndpointOutcome, Router, RouterSettings};
use stakker::{CX, after, stop};

use crate::{
    claims::Claims,
    counts,
    event::Event,
    pools::Pools,
    queue::{Delayed, Lines, Running},
    suspects::{CrashNews, Lanes},
};

/// Both budgets together stay under a fifth of the successes.
const REROUTES: RetrySettings = RetrySettings {
    ratio: 0.08,
    burst: 10.0,
    backoff: Duration::from_millis(20),
    max_backoff: Duration::from_secs(1),
};
/// Time between looks at the queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between looks at whether gossip is due.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Time without a turn after which what is known of endpoints must be asked again.
const PAUSE: Duration = Duration::from_secs(1);

/// The actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) router: Router,
    pub(crate) admission: RateLimiter,
    /// Retries after faults.
    pub(crate) retries: RetryBudget,
    /// Retries after an endpoint had no slot left, which is no fault of the endpoint.
    pub(crate) reroutes: RetryBudget,
    pub(crate) ledger: CrashTracker,
    pub(crate) lanes: Lanes,
    pub(crate) crash_news: CrashNews,
    pub(crate) placement: Placement,
    /// What `placement` was computed from.
    pub(crate) inputs: Inputs,
    /// Clocks of agents, in milliseconds, as they stated them last.
    pub(crate) clocks: HashMap<VmId, u64>,
    pub(crate) claims: Claims,
    pub(crate) pools: Pools,
    pub(crate) usage: UsageGossip,
    pub(crate) parts: LocalQuotas,
    pub(crate) lines: Lines,
    pub(crate) delayed: Delayed,
    /// Counts the requests that were delayed.
    pub(crate) delays: u64,
    pub(crate) running: HashMap<AttemptId, Running>,
    /// Requests that wait or run.
    pub(crate) in_flight: usize,
    pub(crate) draining: Option<Instant>,
    /// When this process last acted.
    pub(crate) acted: Instant,
    /// When this process last noticed that it had been paused; what it knew before may be wrong.
    pub(crate) woke: Instant,
    pub(crate) gossip_at: Instant,
    /// When the next agent is asked about its endpoint.
    pub(crate) ask_at: Instant,
    /// Agents in the order in which they are asked.
    pub(crate) order: VecDeque<VmId>,
    /// When each agent was asked last.
    pub(crate) asked: HashMap<VmId, Instant>,
    /// Since when each rollout's release is wanted.
    pub(crate) since: Vec<(RolloutId, ReleaseId, Instant)>,
    pub(crate) rng: Rng,
}

impl Core {
    pub(crate) fn init(cx: CX![], node: Node, mailbox: Mailbox<Event>) -> Option<Self> {
        let now = cx.now();
        let settings = &node.identity.settings;
        let (zone, me) = (settings.zone.clone(), settings.vm.clone());
        let policy = settings.entry.as_ref().map(|entry| entry.policy).unwrap_or_default();
        let routing = RouterSettings { policy, ..RouterSettings::default() };
        after!(TICK, [cx], tick());
        Some(Core {
            node,
            mailbox,
            router: Router::new(zone, routing, Rng::new()),
            admission: RateLimiter::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            reroutes: RetryBudget::new(REROUTES),
            ledger: CrashTracker::new(CrashTrackerSettings::default()),
            lanes: Lanes::default(),
            crash_news: CrashNews::new(now),
            placement: Placement::default(),
            inputs: Inputs::default(),
            clocks: HashMap::new(),
            claims: Claims::default(),
            pools: Pools::default(),
            usage: UsageGossip::new(me, UsageSettings::default(), now),
            parts: LocalQuotas::even(1),
            lines: Lines::new(),
            delayed: Delayed::new(),
            delays: 0,
            running: HashMap::new(),
            in_flight: 0,
            draining: None,
            acted: now,
            woke: now,
            gossip_at: now,
            ask_at: now,
            order: VecDeque::new(),
            asked: HashMap::new(),
            since: Vec::new(),
            rng: Rng::new(),
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        self.notice_pause(now);
        match event {
            Event::Peer(call) => self.answer(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Endpoint { vm, state: Some(state) } if state.vm == vm => {
                let service = state.serving.as_ref().map(|serving| serving.service.clone());
                self.clocks.insert(vm, state.clock);
                self.router.observe(state, now);
                if let Some(service) = service {
                    self.serve(&service, now);
                }
            }
            Event::Endpoint { vm, .. } => {
                self.router.mark_unresponsive(&vm);
                self.node.members.missed(&vm, now);
            }
            Event::Arrived { ask, reply } => self.arrived(ask, reply, now),
            Event::Again { ask, last, reply } => self.again(ask, &last, reply, now),
            Event::Bound(bound) => self.bound(*bound, now),
            Event::Lost { last } => self.lost(&last, now),
            Event::Answered { vm, attempt, fingerprint } => {
                self.ledger.record_answer(&fingerprint);
                self.ended(attempt, &vm, EndpointOutcome::Succeeded, true, now);
            }
            Event::Ended { vm, attempt } => {
                self.ended(attempt, &vm, EndpointOutcome::Succeeded, false, now);
            }
            Event::Crashes(records) => self.learn_crashes(&records, now),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    /// Asks the endpoints again if this process was paused, before anything is decided.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.acted) > PAUSE {
            self.woke = now;
            self.ask_endpoints(now);
        }
        self.acted = now;
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.notice_pause(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_EVERY;
            self.node.tick(now);
            self.update_candidates(now);
            let queued = self.lines.values().map(|line| line.queue.len()).sum();
            counts::load(self.in_flight, queued);
            for digest in self.ledger.remove_expired(now) {
                let change = Change::Released { fingerprint: digest.to_string() };
                self.node.trail.record(change, "expired");
            }
        }
        self.ask_next(now);
        self.exchange_usage(now);
        self.tell_crashes(now);
        self.close_lanes(now);
        self.tick_lines(now);
        self.stop_if_drained(cx);
        after!(TICK, [cx], tick());
    }

    pub(crate) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.state(Stated::only(MemberState::Leaving));
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
        let inputs = Inputs::of(self.node.documents.manifest(), self.node.documents.vms());
        if inputs != self.inputs {
            self.inputs = inputs;
            self.placement = place(self.node.documents.manifest(), self.node.documents.vms());
        }
        self.claims = Claims::of(self.node.documents.manifest());
        let claims = &self.claims;
        self.admission.retain(|id| claims.by_id(id).is_some());
        self.usage.retain(|id| claims.by_id(id).is_some());
        for line in self.lines.values_mut() {
            line.queue.retain(|id| claims.by_id(id).is_some());
        }
        let vms = self.node.documents.vms();
        self.clocks.retain(|vm, _| vms.get(vm).is_some());
        self.note_releases(now);
        self.update_pools(now);
    }
}
