//! The agent's actor: passes events to the state machines and executes the resulting actions.

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
use net::{Mailbox, ThreadPool};
use node::{Changes, Node, NodeEvent, wall_clock_ms};
use placement::{InputsFingerprint, Placement};
use proto::ExecutionStatus;
use rollout::Endpoint;
use settings::{AgentSettings, EndpointKind};
use stakker::{CX, after, stop};

use crate::{
    engine::{Engine, EngineReport},
    event::Event,
    loading::Loading,
    responses::{ResponseStore, SharedCrashHistory, key_ownership},
};

/// Interval at which transfers, rollout state and timers are polled.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Interval of the gossip tick.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum number of attempts that an agent of a model engine accepts beyond its slots.
const MIN_EXTRA_SLOTS: usize = 2;
/// Minimum time for which a stopping agent announces that it leaves, even without requests in
/// progress.
const LEAVE_NOTICE_TIME: Duration = Duration::from_millis(700);
/// Maximum number of cached chunk lists.
const MAX_CACHED_LISTS: usize = 4;
/// Age after which a report of the endpoint is discarded.
pub(crate) const MAX_REPORT_AGE: Duration = Duration::from_secs(2);
/// Interval between health checks of a plain service.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Parts of the agent that are shared between threads.
#[derive(Clone)]
pub(crate) struct Shared {
    pub(crate) cache: Arc<Mutex<ChunkCache>>,
    pub(crate) link: Arc<Mutex<LinkLimiter>>,
    /// The last `MAX_CACHED_LISTS` chunk lists that were read, newest last. They are served to
    /// peers, and allow an engine to be reloaded while the configuration service is down.
    pub(crate) list_cache: Arc<Mutex<VecDeque<(Digest, Bytes)>>>,
    pub(crate) engine: Engine,
    pub(crate) workers: ThreadPool,
    /// HTTP client for chunks from peers.
    pub(crate) peer_client: ureq::Agent,
    /// HTTP client for the platform, which may queue reads for longer than peers do.
    pub(crate) platform_client: ureq::Agent,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) kind: EndpointKind,
    pub(crate) crashes: SharedCrashHistory,
    /// Number of attempts in progress.
    pub(crate) running: Arc<AtomicUsize>,
}

impl Shared {
    /// Blocks until `size` bytes may be transferred over the link.
    pub(crate) fn throttle(&self, size: ByteSize) {
        let wait = self.link.lock().expect("no holder panics").reserve(size, Instant::now());
        std::thread::sleep(wait);
    }

    /// Whether a peer that wants `size` bytes should fetch them from elsewhere.
    pub(crate) fn is_congested(&self, size: ByteSize) -> bool {
        self.link.lock().expect("no holder panics").is_congested(size, Instant::now())
    }

    /// The chunk or the chunk list, as published, with the given digest.
    pub(crate) fn find_blob(&self, digest: &Digest) -> Option<Bytes> {
        let chunk = self.cache.lock().expect("no holder panics").get(digest);
        chunk.or_else(|| self.find_list(digest))
    }

    /// The cached chunk list, as published, with the given digest.
    pub(crate) fn find_list(&self, digest: &Digest) -> Option<Bytes> {
        let lists = self.list_cache.lock().expect("no holder panics");
        lists.iter().find(|(cached, _)| cached == digest).map(|(_, text)| text.clone())
    }

    pub(crate) fn cache_list(&self, digest: Digest, text: Bytes) {
        let mut lists = self.list_cache.lock().expect("no holder panics");
        if lists.iter().any(|(cached, _)| *cached == digest) {
            return;
        }
        if lists.len() == MAX_CACHED_LISTS {
            lists.pop_front();
        }
        lists.push_back((digest, text));
    }
}

/// State of the agent's actor.
pub(crate) struct Core {
    pub(crate) node: Node,
    pub(crate) settings: AgentSettings,
    pub(crate) shared: Shared,
    pub(crate) endpoint: Endpoint,
    pub(crate) attempts: Attempts,
    pub(crate) responses: ResponseStore,
    pub(crate) key_ownership: KeyOwnership,
    pub(crate) placement: Placement,
    /// The inputs from which `placement` was computed.
    pub(crate) inputs: InputsFingerprint,
    pub(crate) loading: Option<Loading>,
    /// The last completed load, whose chunks peers may still fetch.
    pub(crate) seeding: Option<Loading>,
    /// The VMs of this VM's rollout that are not considered gone.
    pub(crate) locations: Vec<VmLocation>,
    /// The last report of the endpoint, unless it was stale.
    pub(crate) engine_report: Option<EngineReport>,
    /// When a report last arrived or, for a plain service, was last requested.
    pub(crate) reported_at: Instant,
    pub(crate) report_pending: bool,
    pub(crate) drain_deadline: Option<Instant>,
    pub(crate) next_gossip: Instant,
    pub(crate) target_since: Instant,
    /// When the target and the permission to switch are next checked.
    pub(crate) next_target_check: Instant,
    /// The last release whose rollout was found halted.
    pub(crate) last_halted: Option<ReleaseId>,
    /// When the process last ran, by the wall clock in milliseconds and by the monotonic clock.
    pub(crate) last_run: (u64, Instant),
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
        let slots = settings.slots + extra_slots(&settings);
        let slots = AttemptsSettings { slots, ..AttemptsSettings::default() };
        after!(TICK_INTERVAL, [cx], tick());
        Some(Core {
            endpoint: Endpoint::new(Fence(node.identity.incarnation.0), now),
            attempts: Attempts::new(node.identity.incarnation, slots, now),
            responses: ResponseStore::default(),
            key_ownership: key_ownership(
                node.identity.settings.vm.clone(),
                settings.handover.0,
                now,
            ),
            node,
            settings,
            shared,
            placement: Placement::default(),
            inputs: InputsFingerprint::default(),
            loading: None,
            seeding: None,
            locations: Vec::new(),
            engine_report: None,
            reported_at: now,
            report_pending: false,
            drain_deadline: None,
            next_gossip: now,
            target_since: now,
            next_target_check: now,
            last_halted: None,
            last_run: (wall_clock_ms(), now),
            origin_bytes: 0,
        })
    }

    pub(crate) fn handle(&mut self, cx: CX![], event: Event) {
        let now = cx.now();
        match event {
            Event::Peer(call) => self.handle_call(call, now),
            Event::Node(event) => self.handle_node_event(event, now),
            Event::Engine { report, asked_at } => self.handle_engine_report(report, asked_at, now),
            Event::OrderAnswered { order, accepted } => {
                self.handle_order_result(order, accepted, now)
            }
            Event::List { digest, attempt, list } => self.handle_list(cx, digest, attempt, list),
            Event::Fetched { list, chunk, source, result } => {
                self.handle_fetched(list, chunk, source, result, now);
            }
            Event::Staged { load, digest, chunk, ok } => {
                self.handle_staged(cx, &load, digest, chunk, ok);
            }
            Event::Start { request, reply } => {
                let attempt = request.attempt;
                self.discard_stale_report(now);
                let result = self.handle_start(request, now);
                // The rollout state must know of the request before a switch can begin.
                self.handle_rollout_event(rollout::Event::InFlight(self.attempts.running()), now);
                if reply.send(result).is_err() {
                    self.handle_finished(attempt, ExecutionStatus::NotRun, now);
                }
            }
            Event::Resume { attempt, reply } => {
                // The entry may have disconnected.
                let _ = reply.send(self.handle_resume(&attempt, now));
            }
            Event::Finished { attempt, fate } => self.handle_finished(attempt, fate, now),
            Event::Kill => {
                stop!(cx);
                return;
            }
            Event::Pause(pause) => std::thread::sleep(pause),
            Event::Drain => self.start_drain(now),
        }
        self.stop_if_drained(cx);
    }

    fn handle_finished(&mut self, attempt: AttemptId, fate: ExecutionStatus, now: Instant) {
        self.attempts.finish(attempt, fate, now);
        self.responses.mark_ended(attempt, now);
        let in_flight = self.attempts.running();
        self.shared.running.store(in_flight, Ordering::SeqCst);
        self.handle_rollout_event(rollout::Event::InFlight(in_flight), now);
    }

    pub(crate) fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        if now >= self.next_gossip {
            self.next_gossip = now + GOSSIP_INTERVAL;
            self.attempts.tick(now);
            self.responses.tick(now);
            self.key_ownership.tick(now);
            let changes = self.node.tick(now);
            self.handle_changes(changes, now);
            self.update_plans(now);
        }
        if self.settings.kind == EndpointKind::Plain {
            self.tick_plain(now);
        } else {
            self.detect_pause(now);
            self.refresh_target(now);
            self.handle_rollout_event(rollout::Event::InFlight(self.attempts.running()), now);
            self.handle_rollout_event(rollout::Event::Tick, now);
        }
        self.poll_transfers(now);
        self.stop_if_drained(cx);
        after!(TICK_INTERVAL, [cx], tick());
    }

    /// Discards endpoint state that is stale, e.g. after a pause, before work is accepted.
    fn discard_stale_report(&mut self, now: Instant) {
        if self.settings.kind == EndpointKind::Model {
            self.handle_rollout_event(rollout::Event::Tick, now);
        } else if now.saturating_duration_since(self.reported_at) > MAX_REPORT_AGE {
            self.engine_report = None;
        }
    }

    pub(crate) fn tick_plain(&mut self, now: Instant) {
        self.discard_stale_report(now);
        if now >= self.reported_at + HEALTH_CHECK_INTERVAL {
            self.reported_at = now;
            self.read_engine(now);
        }
    }

    pub(crate) fn start_drain(&mut self, now: Instant) {
        if self.drain_deadline.is_none() {
            self.drain_deadline = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.publish_state();
        }
    }

    pub(crate) fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(deadline) = self.drain_deadline else { return };
        let now = cx.now();
        let announced = now + self.node.identity.settings.drain.0 >= deadline + LEAVE_NOTICE_TIME;
        if (self.attempts.running() == 0 && announced) || now >= deadline {
            stop!(cx);
        }
    }

    pub(crate) fn is_accepting(&self) -> bool {
        let ready = match self.settings.kind {
            EndpointKind::Model => self.endpoint.is_accepting(),
            EndpointKind::Plain => self.engine_report.is_some(),
        };
        ready && self.drain_deadline.is_none()
    }

    pub(crate) fn handle_node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        self.handle_changes(changes, now);
    }

    fn handle_changes(&mut self, changes: Changes, now: Instant) {
        if changes.manifest || changes.vms {
            self.update_placement(now);
        }
        if changes.vms {
            self.update_key_ownership(now);
        }
        if let Some((revision, at)) = self.node.vms_confirmed() {
            self.key_ownership.confirm(revision, at);
        }
        if self.node.members.has_newer_process() {
            self.handle_rollout_event(rollout::Event::NewerProcess, now);
        }
        if changes.joined {
            self.handle_rollout_event(rollout::Event::PeersConfirmed, now);
        }
    }
}

/// Number of attempts accepted beyond the configured slots, since several entries may select an
/// endpoint at the same moment. A model engine queues them; a plain service need not, so it gets
/// none.
fn extra_slots(settings: &AgentSettings) -> usize {
    match settings.kind {
        EndpointKind::Model => (settings.slots / 2).max(MIN_EXTRA_SLOTS),
        EndpointKind::Plain => 0,
    }
}
