//! The agent's actor: turns events into decisions of the cores and carries their actions out.

use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use attempts::{Attempts, AttemptsSettings, KeyOwnership};
use audit::Change;
use base::{AttemptId, ByteSize, Digest, Fence, ReleaseId};
use bytes::Bytes;
use chunks::{ChunkCache, LinkLimiter, VmLocation};
use net::{Mailbox, Workers};
use node::{Changes, Node, NodeEvent, wall_clock_ms};
use placement::{Inputs, Placement};
use proto::Fate;
use rollout::Endpoint;
use settings::{AgentSettings, EndpointKind};
use stakker::{CX, after, stop};

use crate::{
    answers::{Answers, SharedCrashes, homes},
    engine::{Engine, EngineReport},
    event::Event,
    loading::Loading,
};

/// Time between looks at transfers, turns and timers.
const TICK: Duration = Duration::from_millis(20);
/// Time between looks at whether gossip is due.
const GOSSIP_EVERY: Duration = Duration::from_millis(200);
/// Least number of attempts that an agent beside an engine accepts beyond its slots.
const MIN_SPARE: usize = 2;
/// Time for which an agent that stops tells others so, though no request is in progress.
const LEAVE_NOTICE: Duration = Duration::from_millis(700);
/// Chunk lists that are kept.
const KEPT_LISTS: usize = 4;
/// Age after which what a plain service stated no longer counts.
pub(crate) const STALE: Duration = Duration::from_secs(2);
/// Pause before something that failed is tried again.
const RETRY: Duration = Duration::from_millis(300);

/// Parts of the agent that other threads share.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) pool: Arc<Mutex<ChunkCache>>,
    pub(crate) link: Arc<Mutex<LinkLimiter>>,
    /// Chunk lists that were read last, newest last; at most `KEPT_LISTS`. Peers get them from here,
    /// and an engine can be loaded again with them while the configuration service is down.
    pub(crate) lists: Arc<Mutex<VecDeque<(Digest, Bytes)>>>,
    pub(crate) engine: Engine,
    pub(crate) workers: Workers,
    /// Reads chunks from peers.
    pub(crate) peer_client: ureq::Agent,
    /// Reads from the platform, which may queue reads for longer than peers do.
    pub(crate) platform_client: ureq::Agent,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) kind: EndpointKind,
    pub(crate) crashes: SharedCrashes,
    /// Attempts in progress.
    pub(crate) running: Arc<AtomicUsize>,
}

impl Shared {
    /// Waits until `size` bytes may pass the link.
    pub(crate) fn pace(&self, size: ByteSize) {
        let wait = self.link.lock().expect("no holder panics").reserve(size, Instant::now());
        std::thread::sleep(wait);
    }

    /// Whether a peer that wants `size` bytes had better ask another.
    pub(crate) fn is_crowded(&self, size: ByteSize) -> bool {
        self.link.lock().expect("no holder panics").is_congested(size, Instant::now())
    }

    /// A chunk, or a chunk list as it was published.
    pub(crate) fn held(&self, digest: &Digest) -> Option<Bytes> {
        let chunk = self.pool.lock().expect("no holder panics").get(digest);
        chunk.or_else(|| self.list(digest))
    }

    /// A chunk list as it was published.
    pub(crate) fn list(&self, digest: &Digest) -> Option<Bytes> {
        let lists = self.lists.lock().expect("no holder panics");
        lists.iter().find(|(kept, _)| kept == digest).map(|(_, text)| text.clone())
    }

    pub(crate) fn keep_list(&self, digest: Digest, text: Bytes) {
        let mut lists = self.lists.lock().expect("no holder panics");
        if lists.iter().any(|(kept, _)| *kept == digest) {
            return;
        }
        if lists.len() == KEPT_LISTS {
            lists.pop_front();
        }
        lists.push_back((digest, text));
    }
}

/// The actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) settings: AgentSettings,
    pub(crate) shared: Shared,
    pub(crate) endpoint: Endpoint,
    pub(crate) attempts: Attempts,
    pub(crate) answers: Answers,
    pub(crate) homes: KeyOwnership,
    pub(crate) placement: Placement,
    /// What `placement` was computed from.
    pub(crate) inputs: Inputs,
    pub(crate) loading: Option<Loading>,
    /// The load that ended last, whose chunks peers still fetch.
    pub(crate) seeding: Option<Loading>,
    /// The VMs of this VM's rollout that are not thought gone.
    pub(crate) places: Vec<VmLocation>,
    /// The last statement of the endpoint.
    pub(crate) report: Option<EngineReport>,
    /// When the endpoint made it.
    pub(crate) reported: Instant,
    pub(crate) reading: bool,
    pub(crate) draining: Option<Instant>,
    pub(crate) gossip_at: Instant,
    pub(crate) target_since: Instant,
    /// When targets and turns are looked at next.
    pub(crate) aim_at: Instant,
    /// The release that was seen halted last.
    pub(crate) halted: Option<ReleaseId>,
    /// When the process ran last, by the wall clock and by the clock of the runtime.
    pub(crate) ran_at: (u64, Instant),
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
        let slots = settings.slots + spare_slots(&settings);
        let slots = AttemptsSettings { slots, ..AttemptsSettings::default() };
        after!(TICK, [cx], tick());
        Some(Core {
            endpoint: Endpoint::new(Fence(node.identity.incarnation.0), now),
            attempts: Attempts::new(node.identity.incarnation, slots, now),
            answers: Answers::default(),
            homes: homes(node.identity.settings.vm.clone(), settings.handover.0, now),
            node,
            settings,
            shared,
            placement: Placement::default(),
            inputs: Inputs::default(),
            loading: None,
            seeding: None,
            places: Vec::new(),
            report: None,
            reported: now,
            reading: false,
            draining: None,
            gossip_at: now,
            target_since: now,
            aim_at: now,
            halted: None,
            ran_at: (wall_clock_ms(), now),
            origin_bytes: 0,
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Peer(call) => self.answer(call, now),
            Event::Node(event) => self.node_event(event, now),
            Event::Engine { report, asked } => self.engine_report(report, asked, now),
            Event::Ordered { order, accepted } => self.ordered(order, accepted, now),
            Event::List { digest, attempt, list } => self.list(cx, digest, attempt, list),
            Event::Fetched { list, chunk, source, result } => {
                self.fetched(list, chunk, source, result, now);
            }
            Event::Staged { load, digest, chunk, ok } => {
                self.staged(cx, &load, digest, chunk, ok);
            }
            Event::Offer { offer, reply } => {
                let attempt = offer.attempt;
                self.recheck(now);
                let opened = self.offered(offer, now);
                // A switch must not begin before the endpoint knows of the request.
                self.decide(rollout::Event::InFlight(self.attempts.running()), now);
                if reply.send(opened).is_err() {
                    self.finished(attempt, Fate::NotRun, now);
                }
            }
            Event::Resume { attempt, reply } => {
                // The entry may be gone.
                let _ = reply.send(self.resumed(&attempt, now));
            }
            Event::Finished { attempt, fate } => self.finished(attempt, fate, now),
            Event::Kill => {
                stop!(cx);
                return;
            }
            Event::Pause(pause) => std::thread::sleep(pause),
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    fn finished(&mut self, attempt: AttemptId, fate: Fate, now: Instant) {
        self.attempts.finish(attempt, fate, now);
        self.answers.ended(attempt, now);
        let in_flight = self.attempts.running();
        self.shared.running.store(in_flight, Ordering::SeqCst);
        self.decide(rollout::Event::InFlight(in_flight), now);
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_EVERY;
            self.attempts.tick(now);
            self.answers.tick(now);
            self.homes.tick(now);
            let changes = self.node.tick(now);
            self.changed(changes, now);
            self.update_plans(now);
        }
        if self.settings.kind == EndpointKind::Plain {
            self.tick_plain(now);
        } else {
            self.notice_pause(now);
            self.aim_again(now);
            self.decide(rollout::Event::InFlight(self.attempts.running()), now);
            self.decide(rollout::Event::Tick, now);
        }
        self.poll_transfers(now);
        self.stop_if_drained(cx);
        after!(TICK, [cx], tick());
    }

    /// Drops what is known of the endpoint if it is from before a pause, before work is accepted.
    fn recheck(&mut self, now: Instant) {
        if self.settings.kind == EndpointKind::Model {
            self.decide(rollout::Event::Tick, now);
        } else if now.saturating_duration_since(self.reported) > STALE {
            self.report = None;
        }
    }

    pub(crate) fn tick_plain(&mut self, now: Instant) {
        self.recheck(now);
        if now >= self.reported + RETRY {
            self.reported = now;
            self.read_engine(now);
        }
    }

    pub(crate) fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.state();
        }
    }

    pub(crate) fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        let now = cx.now();
        let told = now + self.node.identity.settings.drain.0 >= until + LEAVE_NOTICE;
        if (self.attempts.running() == 0 && told) || now >= until {
            stop!(cx);
        }
    }

    pub(crate) fn accepting(&self) -> bool {
        let ready = match self.settings.kind {
            EndpointKind::Model => self.endpoint.is_accepting(),
            EndpointKind::Plain => self.report.is_some(),
        };
        ready && self.draining.is_none()
    }

    pub(crate) fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        self.changed(changes, now);
    }

    fn changed(&mut self, changes: Changes, now: Instant) {
        if changes.manifest || changes.vms {
            self.retarget(now);
        }
        if changes.vms {
            self.update_homes(now);
        }
        if let Some((revision, at)) = self.node.vms_confirmed() {
            self.homes.confirm(revision, at);
        }
        if self.node.members.has_rival() {
            self.decide(rollout::Event::NewerProcess, now);
        }
        if changes.joined {
            self.decide(rollout::Event::PeersConfirmed, now);
        }
    }
}

/// Attempts that are accepted beyond the stated slots, since entries may choose an endpoint at the
/// same moment. An engine keeps them waiting; a plain service need not, so it gets none.
fn spare_slots(settings: &AgentSettings) -> usize {
    match settings.kind {
        EndpointKind::Model => (settings.slots / 2).max(MIN_SPARE),
        EndpointKind::Plain => 0,
    }
}
