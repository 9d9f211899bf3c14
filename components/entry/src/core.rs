//! The entry's actor: admits requests, queues them and chooses endpoints.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use audit::Change;
use base::{ReleaseId, RolloutId, WorkspaceId};
use crossbeam_channel::Sender;
use fastrand::Rng;
use limits::{Admission, RetryBudget, RetrySettings};
use net::Mailbox;
use node::{Node, NodeEvent};
use placement::{Inputs, Placement, place};
use proto::MemberState;
use quarantine::{Ledger, LedgerSettings};
use routing::{Router, RouterSettings};
use stakker::{CX, after, stop};

use crate::event::{Ask, Decision, Event};

/// Time between looks at the queue.
const TICK: Duration = Duration::from_millis(20);
/// Time between gossip calls.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Time between questions to each endpoint's agent.
const ASK_EVERY: Duration = Duration::from_millis(500);

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
    pub(crate) placement: Placement,
    /// What `placement` was computed from.
    pub(crate) inputs: Inputs,
    pub(crate) queue: VecDeque<Waiting>,
    pub(crate) in_flight: usize,
    pub(crate) draining: Option<Instant>,
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
            placement: Placement::default(),
            inputs: Inputs::default(),
            queue: VecDeque::new(),
            in_flight: 0,
            draining: None,
            gossip_at: now,
            ask_at: now,
            since: Vec::new(),
            rng: Rng::new(),
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Peer(call) => self.answer(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Endpoint { vm, state: Some(state) } if state.vm == vm => {
                self.router.observe(state, now);
                self.serve_queue(now);
            }
            Event::Endpoint { vm, .. } => self.node.members.missed(&vm, now),
            Event::Arrived { ask, reply } => self.arrived(ask, reply, now),
            Event::Again { ask, last, reply } => self.again(ask, &last, reply, now),
            Event::Answered { vm } => {
                self.retries.succeeded();
                self.ended(&vm, false, now);
            }
            Event::Ended { vm, failed } => self.ended(&vm, failed, now),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
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
        let inputs = Inputs::of(self.node.documents.manifest(), self.node.documents.vms());
        if inputs != self.inputs {
            self.inputs = inputs;
            self.placement = place(self.node.documents.manifest(), self.node.documents.vms());
        }
        self.admission.set_manifest(self.node.documents.manifest());
        self.note_releases(now);
        self.update_candidates(now);
    }
}
