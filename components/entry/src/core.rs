//! The entry's actor: admits requests, queues them and chooses endpoints.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use audit::Change;
use base::{ReleaseId, RolloutId, VmId, WorkspaceId};
use crossbeam_channel::Sender;
use fastrand::Rng;
use limits::{Admission, RetryBudget, RetrySettings};
use net::Mailbox;
use node::{Node, NodeEvent};
use placement::{Placement, place};
use proto::MemberState;
use quarantine::{Ledger, LedgerSettings};
use routing::{Router, RouterSettings};
use stakker::{CX, after, stop};

use crate::{
    event::{Ask, Decision, Event},
    suspects::{Lanes, Rumours},
};

/// Time between looks at the queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between gossip calls.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Time between questions to each endpoint's agent.
const ASK_EVERY: Duration = Duration::from_millis(500);

/// Time without a turn after which what is known of endpoints must be asked again.
const PAUSE: Duration = Duration::from_secs(1);

/// A request that waits for an endpoint.
pub(crate) struct Waiting {
    pub(crate) ask: Ask,
    pub(crate) workspace: WorkspaceId,
    pub(crate) reply: Sender<Decision>,
    /// No endpoint is chosen before.
    pub(crate) not_before: Instant,
}

/// The actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) router: Router,
    pub(crate) admission: Admission,
    pub(crate) retries: RetryBudget,
    pub(crate) ledger: Ledger,
    pub(crate) lanes: Lanes,
    pub(crate) rumours: Rumours,
    pub(crate) placement: Placement,
    /// Clocks of agents, in milliseconds, as they stated them last.
    pub(crate) clocks: HashMap<VmId, u64>,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) in_flight: usize,
    pub(crate) draining: Option<Instant>,
    /// When this process last acted.
    pub(crate) acted: Instant,
    /// When this process last noticed that it had been paused; what it knew before may be wrong.
    pub(crate) woke: Instant,
    pub(crate) gossip_at: Instant,
    pub(crate) ask_at: Instant,
    /// Since when each rollout's release is wanted.
    pub(crate) since: Vec<(RolloutId, ReleaseId, Instant)>,
    pub(crate) rng: Rng,
}

impl Core {
    pub(crate) fn init(cx: CX![], node: Node, mailbox: Mailbox<Event>) -> Option<Self> {
        let now = cx.now();
        let zone = node.identity.settings.zone.clone();
        after!(TICK, [cx], tick());
        Some(Core {
            node,
            mailbox,
            router: Router::new(zone, RouterSettings::default(), Rng::new()),
            admission: Admission::default(),
            retries: RetryBudget::new(RetrySettings::default()),
            ledger: Ledger::new(LedgerSettings::default()),
            lanes: Lanes::default(),
            rumours: Rumours::new(now),
            placement: Placement::default(),
            clocks: HashMap::new(),
            queue: VecDeque::new(),
            in_flight: 0,
            draining: None,
            acted: now,
            woke: now,
            gossip_at: now,
            ask_at: now,
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
                self.clocks.insert(vm, state.clock);
                self.router.observe(state, now);
                self.serve_queue(now);
            }
            Event::Endpoint { vm, .. } => self.node.members.missed(&vm, now),
            Event::Arrived { ask, reply } => self.arrived(ask, reply, now),
            Event::Again { ask, last, reply } => self.again(ask, &last, reply, now),
            Event::Bound(bound) => self.bound(*bound, now),
            Event::Lost { last } => self.lost(&last, now),
            Event::Answered { vm, fingerprint } => {
                self.ledger.answered(&fingerprint);
                self.retries.succeeded();
                self.ended(&vm, false, now);
            }
            Event::Ended { vm, failed } => self.ended(&vm, failed, now),
            Event::Crashes(records) => self.learn_crashes(&records, now),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    /// Asks the endpoints again if this process was paused, before anything is decided.
    pub(crate) fn notice_pause(&mut self, now: Instant) {
        if now.saturating_duration_since(self.acted) > PAUSE {
            self.woke = now;
            self.ask_endpoints();
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
            for digest in self.ledger.tick(now) {
                let change = Change::Released { fingerprint: digest.to_string() };
                self.node.trail.record(change, "expired");
            }
        }
        if now >= self.ask_at {
            self.ask_at = now + ASK_EVERY;
            self.ask_endpoints();
        }
        self.tell_crashes(now);
        self.close_lanes();
        self.serve_queue(now);
        self.stop_if_drained(cx);
        after!(TICK, [cx], tick());
    }

    pub(crate) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.state(MemberState::Leaving, None, None);
        }
    }

    pub(crate) fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        let idle = self.in_flight == 0 && self.queue.is_empty();
        if idle || cx.now() >= until {
            stop!(cx);
        }
    }

    pub(crate) fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        if !changes.manifest && !changes.vms {
            return;
        }
        self.placement = place(self.node.documents.manifest(), self.node.documents.vms());
        self.admission.set_manifest(self.node.documents.manifest());
        let vms = self.node.documents.vms();
        self.clocks.retain(|vm, _| vms.get(vm).is_some());
        self.note_releases(now);
        self.update_candidates(now);
    }
}
