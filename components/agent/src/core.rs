//! The agent's actor: turns events into decisions of the cores and carries their actions out.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use attempts::{Attempts, AttemptsSettings};
use audit::Change;
use base::{ByteSize, Digest, Fence};
use bytes::Bytes;
use chunks::{Link, Place, Pool};
use net::{Mailbox, Workers};
use node::{Node, NodeEvent};
use placement::Placement;
use proto::MemberState;
use rollout::Endpoint;
use settings::{AgentSettings, EndpointKind};
use stakker::{CX, after, stop};

use crate::{
    engine::{Engine, EngineReport},
    event::Event,
    loading::Loading,
};

/// Time between looks at transfers, turns and timers.
const TICK: Duration = Duration::from_millis(20);
/// Time between gossip calls.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Pause before something that failed is tried again.
const RETRY: Duration = Duration::from_millis(300);

/// Parts of the agent that other threads share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) pool: Arc<Mutex<Pool>>,
    pub(crate) link: Arc<Mutex<Link>>,
    /// Chunk lists of the releases that are loaded or served, by digest.
    pub(crate) lists: Arc<Mutex<HashMap<Digest, Bytes>>>,
    pub(crate) engine: Engine,
    pub(crate) workers: Workers,
    /// Reads chunks from peers.
    pub(crate) peer_client: ureq::Agent,
    /// Reads from the platform, which may queue reads for longer than peers do.
    pub(crate) platform_client: ureq::Agent,
    pub(crate) mailbox: Mailbox<Event>,
}

impl Shared {
    /// Waits until `size` bytes may pass the link.
    pub(crate) fn pace(&self, size: ByteSize) {
        let wait = self.link.lock().expect("no holder panics").reserve(size, Instant::now());
        std::thread::sleep(wait);
    }

    /// Whether a peer that wants `size` bytes had better ask another.
    pub(crate) fn is_crowded(&self, size: ByteSize) -> bool {
        self.link.lock().expect("no holder panics").is_crowded(size, Instant::now())
    }

    /// A chunk, or a chunk list as it was published.
    pub(crate) fn held(&self, digest: &Digest) -> Option<Bytes> {
        let chunk = self.pool.lock().expect("no holder panics").get(digest);
        chunk.or_else(|| self.lists.lock().expect("no holder panics").get(digest).cloned())
    }
}

/// The actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) settings: AgentSettings,
    pub(crate) shared: Shared,
    pub(crate) endpoint: Endpoint,
    pub(crate) attempts: Attempts,
    pub(crate) placement: Placement,
    pub(crate) loading: Option<Loading>,
    /// The load that ended last, whose chunks peers still fetch.
    pub(crate) seeding: Option<Loading>,
    /// The VMs of this VM's rollout that are not thought gone.
    pub(crate) places: Vec<Place>,
    /// The last statement of the endpoint.
    pub(crate) report: Option<EngineReport>,
    /// When the endpoint made it.
    pub(crate) reported: Instant,
    pub(crate) reading: bool,
    pub(crate) draining: Option<Instant>,
    pub(crate) gossip_at: Instant,
    pub(crate) target_since: Instant,
    pub(crate) origin_bytes: u64,
}

impl Core {
    pub(crate) fn init(
        cx: CX![],
        node: Node,
        settings: AgentSettings,
        shared: Shared,
    ) -> Option<Self> {
        let now = cx.now();
        let slots = AttemptsSettings { slots: settings.slots, ..AttemptsSettings::default() };
        after!(TICK, [cx], tick());
        Some(Core {
            endpoint: Endpoint::new(Fence(node.identity.incarnation.0), now),
            attempts: Attempts::new(node.identity.incarnation, slots),
            node,
            settings,
            shared,
            placement: Placement::default(),
            loading: None,
            seeding: None,
            places: Vec::new(),
            report: None,
            reported: now,
            reading: false,
            draining: None,
            gossip_at: now,
            target_since: now,
            origin_bytes: 0,
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Peer(call) => self.answer(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Engine(report) => self.engine_report(report, now),
            Event::Ordered { order, accepted } => self.ordered(order, accepted, now),
            Event::List { digest, attempt, list } => self.list(cx, digest, attempt, list),
            Event::Fetched { list, chunk, source, result } => {
                self.fetched(list, chunk, source, result, now);
            }
            Event::Staged { release, digest, chunk, ok } => {
                self.staged(cx, release, digest, chunk, ok);
            }
            Event::Offer { offer, reply } => {
                let accepting = self.accepting();
                let serving = self.endpoint.serving();
                let decision = self.attempts.offer(&offer, accepting, serving, now);
                if reply.send(decision).is_err() {
                    self.attempts.finish(offer.attempt, proto::Fate::NotRun, now);
                }
            }
            Event::Finished { attempt, fate } => {
                self.attempts.finish(attempt, fate, now);
                let in_flight = self.attempts.running();
                self.decide(rollout::Event::InFlight(in_flight), now);
            }
            Event::Pause(pause) => std::thread::sleep(pause),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.attempts.tick(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_EVERY;
            self.node.tick(now);
            self.update_plans(now);
        }
        if self.settings.kind == EndpointKind::Plain {
            self.tick_plain(now);
        } else {
            let turn = self.turn();
            self.decide(rollout::Event::Turn(turn), now);
            self.decide(rollout::Event::InFlight(self.attempts.running()), now);
            self.decide(rollout::Event::Tick, now);
        }
        self.poll_transfers(now);
        self.stop_if_drained(cx);
        after!(TICK, [cx], tick());
    }

    pub(crate) fn tick_plain(&mut self, now: Instant) {
        if now >= self.reported + RETRY {
            self.reported = now;
            self.read_engine();
        }
    }

    pub(crate) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.state(MemberState::Leaving, self.endpoint.serving().cloned());
        }
    }

    pub(crate) fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        if self.attempts.running() == 0 || cx.now() >= until {
            stop!(cx);
        }
    }

    pub(crate) fn accepting(&self) -> bool {
        let ready = match self.settings.kind {
            EndpointKind::Model => self.endpoint.accepting(),
            EndpointKind::Plain => self.report.is_some(),
        };
        ready && self.draining.is_none()
    }

    pub(crate) fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        if changes.any() {
            self.retarget(now);
        }
    }
}
