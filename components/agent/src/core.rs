//! The agent's actor: turns events into decisions of the cores and carries their actions out.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use attempts::{Attempts, AttemptsSettings};
use audit::Change;
use base::{ByteSize, Digest, Fence, ReleaseId, VmId};
use bytes::Bytes;
use chunks::{Action as ChunkAction, FetchError, Link, Pool, Source, TransferSettings, Tree};
use net::{Mailbox, PeerCall, Workers, answer_call};
use node::{Node, NodeEvent};
use placement::{Placement, place};
use proto::{Announcement, EndpointState, Load, MemberState, PeerClient, Serving, Status};
use rollout::{Action, Endpoint, Order, OrderKind, Phase, Replica, Target, Turn};
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
    pub(crate) engine: Engine,
    pub(crate) workers: Workers,
    pub(crate) chunk_client: ureq::Agent,
    pub(crate) mailbox: Mailbox<Event>,
}

impl Shared {
    /// Waits until `size` bytes may pass the link.
    pub(crate) fn pace(&self, size: ByteSize) {
        let wait = self.link.lock().expect("no holder panics").reserve(size, Instant::now());
        std::thread::sleep(wait);
    }

    pub(crate) fn held(&self, digest: &Digest) -> Option<Bytes> {
        self.pool.lock().expect("no holder panics").get(digest)
    }
}

/// The actor.
pub(crate) struct Core {
    node: Node,
    settings: AgentSettings,
    shared: Shared,
    endpoint: Endpoint,
    attempts: Attempts,
    placement: Placement,
    loading: Option<Loading>,
    /// The last statement of the endpoint.
    report: Option<EngineReport>,
    /// When the endpoint made it.
    reported: Instant,
    reading: bool,
    draining: Option<Instant>,
    gossip_at: Instant,
    target_since: Instant,
    origin_bytes: u64,
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
            Event::List { digest, list } => self.list(cx, digest, list),
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
            Event::Drain => self.drain(now),
        }
        self.stop_if_drained(cx);
    }

    fn tick(&mut self, cx: CX![]) {
        let now = cx.now();
        self.attempts.tick(now);
        if now >= self.gossip_at {
            self.gossip_at = now + GOSSIP_EVERY;
            self.node.tick(now);
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

    fn tick_plain(&mut self, now: Instant) {
        if now >= self.reported + RETRY {
            self.reported = now;
            self.read_engine();
        }
    }

    fn drain(&mut self, now: Instant) {
        if self.draining.is_none() {
            self.draining = Some(now + self.node.identity.settings.drain.0);
            self.node.trail.record(Change::Draining, "planned stop");
            self.node.state(MemberState::Leaving, self.endpoint.serving().cloned());
        }
    }

    fn stop_if_drained(&mut self, cx: CX![]) {
        let Some(until) = self.draining else { return };
        if self.attempts.running() == 0 || cx.now() >= until {
            stop!(cx);
        }
    }

    fn accepting(&self) -> bool {
        let ready = match self.settings.kind {
            EndpointKind::Model => self.endpoint.accepting(),
            EndpointKind::Plain => self.report.is_some(),
        };
        ready && self.draining.is_none()
    }

    fn node_event(&mut self, event: NodeEvent, now: Instant) {
        let changes = self.node.handle(event, now);
        if changes.any() {
            self.retarget(now);
        }
    }

    /// Computes the placement again and aims at what it gives this VM.
    fn retarget(&mut self, now: Instant) {
        let documents = &self.node.documents;
        let me = &self.node.identity.settings.vm;
        let listed = documents.vms().get(me).is_some();
        if documents.manifest().revision.0 == 0 || !listed {
            return;
        }
        self.placement = place(documents.manifest(), documents.vms());
        let target = self.placement.rollout_of(me).and_then(|id| {
            let rollout = documents.manifest().rollout(id)?;
            let release = documents.manifest().release(rollout)?;
            Some(Target { rollout: id.clone(), release: release.id })
        });
        if self.endpoint.target() != target.as_ref() {
            self.target_since = now;
        }
        self.decide(rollout::Event::Target(target), now);
        self.update_trees();
    }

    fn update_trees(&mut self) {
        let members = self.rollout_vms();
        let me = &self.node.identity.settings.vm;
        if let Some(loading) = &mut self.loading {
            for (list, transfer) in &mut loading.transfers {
                transfer.set_tree(Tree::new(list, &members, me));
            }
        }
    }

    /// The VMs of this VM's rollout, in placement order.
    fn rollout_vms(&self) -> Vec<VmId> {
        let target = self.endpoint.target();
        target.map(|t| self.placement.vms_of(&t.rollout).to_vec()).unwrap_or_default()
    }

    fn turn(&self) -> bool {
        let Some(target) = self.endpoint.target() else { return false };
        let Some(rollout) = self.node.documents.manifest().rollout(&target.rollout) else {
            return false;
        };
        let vms = self.placement.vms_of(&target.rollout);
        let me = &self.node.identity.settings.vm;
        let Some(position) = vms.iter().position(|vm| vm == me) else { return false };
        let replica = |vm: &VmId| Replica {
            serving: self.node.members.get(vm).and_then(|m| m.serving.clone()),
            dead: self.node.members.is_gone(vm),
        };
        let replicas: Vec<Replica> = vms.iter().map(replica).collect();
        let step = vms.len().saturating_sub(rollout.floor).max(1);
        let turn = Turn { canary: rollout.canary, step };
        rollout::my_turn(turn, &target.release, &replicas, position)
    }

    fn decide(&mut self, event: rollout::Event, now: Instant) {
        for action in self.endpoint.handle(event, now) {
            match action {
                Action::ReadEngine => self.read_engine(),
                Action::Order(order) => self.order(order),
                Action::Load(release) => self.load(&release, now),
                Action::Stop(release) => {
                    self.node.trail.record(Change::Superseded { release }, "target changed");
                    self.loading = None;
                }
                Action::Ready(release) => {
                    let seconds = now.duration_since(self.target_since).as_secs_f64();
                    let cause = format!("engine states it after {seconds:.2}s");
                    self.node.trail.record(Change::Ready { release }, cause);
                    self.loading = None;
                }
            }
        }
        let state = if self.draining.is_some() { MemberState::Leaving } else { MemberState::Alive };
        self.node.state(state, self.endpoint.serving().cloned());
    }

    fn read_engine(&mut self) {
        if self.reading {
            return;
        }
        self.reading = true;
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        let kind = self.settings.kind;
        workers.run(move || {
            let report = match kind {
                EndpointKind::Model => engine.report(),
                EndpointKind::Plain => engine.health(),
            };
            mailbox.send(Event::Engine(report));
        });
    }

    fn engine_report(&mut self, report: Option<EngineReport>, now: Instant) {
        self.reading = false;
        self.reported = now;
        let view = report.as_ref().map(EngineReport::view);
        self.report = report;
        if self.settings.kind == EndpointKind::Model {
            let event = view.map_or(rollout::Event::EngineLost, rollout::Event::Engine);
            self.decide(event, now);
        }
    }

    fn order(&mut self, order: Order) {
        if order.order == OrderKind::Prepare {
            self.prepare(order);
            return;
        }
        self.send_order(order, Vec::new());
    }

    fn send_order(&self, order: Order, chunks: Vec<Digest>) {
        let Shared { engine, mailbox, workers, .. } = self.shared.clone();
        workers.run(move || {
            let accepted = engine.order(&order, &chunks);
            mailbox.send(Event::Ordered { order, accepted });
        });
    }

    fn ordered(&mut self, order: Order, accepted: bool, now: Instant) {
        let change = Change::Order {
            order: order.order.as_str().to_owned(),
            release: Some(order.release.clone()),
            fence: order.fence,
            accepted,
        };
        self.node.trail.record(change, "rollout");
        self.decide(rollout::Event::Ordered { order, accepted }, now);
    }

    /// Reads the chunk lists of a release, which the order to prepare names.
    fn prepare(&mut self, order: Order) {
        let manifest = self.node.documents.manifest();
        let target = self.endpoint.target();
        let rollout = target.and_then(|t| manifest.rollout(&t.rollout));
        let Some(release) = rollout.and_then(|r| manifest.release(r)) else { return };
        if release.id != order.release {
            return;
        }
        let loading = Loading::new(release, order);
        for digest in loading.missing_lists() {
            self.read_list(digest);
        }
        self.loading = Some(loading);
    }

    fn read_list(&self, digest: Digest) {
        let Shared { chunk_client, mailbox, workers, .. } = self.shared.clone();
        let addrs = self.node.identity.settings.platform.config.clone();
        workers.run(move || {
            let name = format!("chunks/{digest}");
            let read = |addr| platform::read_value(&chunk_client, addr, &name).ok();
            let text = addrs.into_iter().find_map(read);
            let list = text.and_then(|t| manifest::ChunkList::parse(&t, digest).ok());
            mailbox.send(Event::List { digest, list });
        });
    }

    fn list(&mut self, cx: CX![], digest: Digest, list: Option<manifest::ChunkList>) {
        let Some(loading) = &mut self.loading else { return };
        match list {
            Some(list) => loading.add_list(digest, list),
            None => {
                after!(RETRY, [cx], retry_list(digest));
                return;
            }
        }
        if let Some((order, chunks)) = loading.take_order() {
            self.send_order(order, chunks);
        }
    }

    fn retry_list(&mut self, _: CX![], digest: Digest) {
        let wanted = self.loading.as_ref().is_some_and(|l| l.missing_lists().contains(&digest));
        if wanted {
            self.read_list(digest);
        }
    }

    fn load(&mut self, release: &ReleaseId, now: Instant) {
        let members = self.rollout_vms();
        let me = self.node.identity.settings.vm.clone();
        let Some(loading) = self.loading.as_mut().filter(|l| l.id() == release) else { return };
        loading.start(&members, &me, TransferSettings::default(), now);
        for (list, chunk, digest) in loading.all_chunks() {
            let Some(bytes) = self.shared.held(&digest) else { continue };
            if let Some(transfer) = loading.transfers.get_mut(&list) {
                transfer.held(chunk);
            }
            stage(&self.shared, release.clone(), digest, bytes);
        }
        self.poll_transfers(now);
    }

    fn poll_transfers(&mut self, now: Instant) {
        let Some(loading) = &mut self.loading else { return };
        let mut actions = Vec::new();
        for (list, transfer) in &mut loading.transfers {
            actions.extend(transfer.poll(now).into_iter().map(|action| (*list, action)));
        }
        for (list, action) in actions {
            match action {
                ChunkAction::Fetch { chunk, digest, source } => {
                    self.fetch(list, chunk, digest, source);
                }
                ChunkAction::Announce { to, chunks } => self.announce(list, &to, chunks),
            }
        }
    }

    fn announce(&self, list: Digest, to: &VmId, chunks: Vec<u32>) {
        let Some(vm) = self.node.documents.vms().get(to) else { return };
        let from = self.node.identity.settings.vm.clone();
        let announcement = Announcement { from, list, chunks };
        let call = move |client| async move { PeerClient::announce(&client, announcement).await };
        // A lost announcement is made up for by the receiver's patience.
        self.node.peers.call(vm.control, call, |_| {});
    }

    fn fetch(&self, list: Digest, chunk: u32, digest: Digest, source: Source) {
        let settings = &self.node.identity.settings;
        let size = self.loading.as_ref().and_then(|l| l.chunk(&list, chunk)).map(|(_, size)| size);
        let addr = match &source {
            Source::Peer(vm) => self.node.documents.vms().get(vm).map(|vm| vm.data),
            Source::Store => Some(settings.platform.store),
            Source::Origin => Some(settings.platform.origin),
        };
        let (Some(addr), Some(size)) = (addr, size) else {
            let result = Err(FetchError::Missing);
            self.shared.mailbox.send(Event::Fetched { list, chunk, source, result });
            return;
        };
        let key = matches!(source, Source::Peer(_)).then(|| settings.peer_key.clone());
        let shared = self.shared.clone();
        self.shared.workers.run(move || {
            let key = key.as_ref().map(settings::PeerKey::expose);
            let result = platform::fetch_blob(&shared.chunk_client, addr, key, digest, size);
            if let Ok(bytes) = &result {
                shared.pace(ByteSize(bytes.len() as u64));
            }
            let result = result.map_err(fetch_error);
            shared.mailbox.send(Event::Fetched { list, chunk, source, result });
        });
    }

    fn fetched(
        &mut self,
        list: Digest,
        chunk: u32,
        source: Source,
        result: Result<Bytes, FetchError>,
        now: Instant,
    ) {
        if let (Source::Origin, Ok(bytes)) = (&source, &result) {
            self.origin_bytes += bytes.len() as u64;
        }
        let Some(loading) = &mut self.loading else { return };
        let digest = loading.chunk(&list, chunk).map(|(digest, _)| digest);
        let release = loading.id().clone();
        let Some(transfer) = loading.transfers.get_mut(&list) else { return };
        match (result, digest) {
            (Ok(bytes), Some(digest)) => {
                let mut pool = self.shared.pool.lock().expect("no holder panics");
                pool.insert(digest, bytes.clone());
                drop(pool);
                transfer.held(chunk);
                stage(&self.shared, release, digest, bytes);
            }
            (Err(error), _) => transfer.failed(chunk, &source, error, now),
            (Ok(_), None) => {}
        }
        self.poll_transfers(now);
    }

    fn staged(&mut self, cx: CX![], release: ReleaseId, digest: Digest, chunk: Bytes, ok: bool) {
        let Some(loading) = self.loading.as_mut().filter(|l| *l.id() == release) else { return };
        if !ok {
            after!(RETRY, [cx], stage_again(release, digest, chunk));
            return;
        }
        if loading.staged(digest) {
            let now = cx.now();
            self.decide(rollout::Event::Staged(release), now);
        }
    }

    fn stage_again(&mut self, _: CX![], release: ReleaseId, digest: Digest, chunk: Bytes) {
        if self.loading.as_ref().is_some_and(|l| *l.id() == release) {
            stage(&self.shared, release, digest, chunk);
        }
    }

    fn answer(&mut self, call: PeerCall, now: Instant) {
        match call {
            PeerCall::Gossip(gossip, reply) => answer_call(reply, self.node.gossip(gossip, now)),
            PeerCall::Document(request, reply) => answer_call(reply, self.node.document(&request)),
            PeerCall::Announce(announcement) => {
                let loading = self.loading.as_mut();
                let transfer = loading.and_then(|l| l.transfers.get_mut(&announcement.list));
                if let Some(transfer) = transfer {
                    transfer.offered(&announcement.from, &announcement.chunks);
                }
                self.poll_transfers(now);
            }
            PeerCall::Endpoint(reply) => answer_call(reply, self.endpoint_state()),
            PeerCall::Cancel(attempt, reply) => {
                answer_call(reply, self.attempts.cancel(&attempt, now));
            }
            PeerCall::Fate(attempt, reply) => answer_call(reply, self.attempts.fate(&attempt)),
            PeerCall::Status(reply) => answer_call(reply, self.status(now)),
            PeerCall::Audit(from, reply) => answer_call(reply, self.node.trail.page(from)),
        }
    }

    fn endpoint_state(&self) -> EndpointState {
        let settings = &self.node.identity.settings;
        EndpointState {
            vm: settings.vm.clone(),
            incarnation: self.node.identity.incarnation,
            serving: self.serving(),
            accepting: self.accepting(),
            load: Load { busy: self.attempts.running() as u32, slots: self.settings.slots as u32 },
        }
    }

    fn serving(&self) -> Option<Serving> {
        if let Some(service) = &self.settings.service {
            return Some(Serving { service: service.clone(), rollout: None, release: None });
        }
        let release = self.endpoint.serving()?.clone();
        let manifest = self.node.documents.manifest();
        let serves = |r: &&manifest::Rollout| manifest.release(r).is_some_and(|x| x.id == release);
        let target = self.endpoint.target().and_then(|t| manifest.rollout(&t.rollout));
        let rollout = target.or_else(|| manifest.rollouts.iter().find(serves))?;
        Some(Serving {
            service: rollout.service.clone(),
            rollout: Some(rollout.id.clone()),
            release: Some(release),
        })
    }

    fn status(&self, now: Instant) -> Status {
        let documents = &self.node.documents;
        let rollouts = self.endpoint.target().map(|target| proto::RolloutRow {
            rollout: target.rollout.clone(),
            release: target.release.clone(),
            ready: self.count_ready(target),
            wanted: self.placement.vms_of(&target.rollout).len(),
            seconds: now.duration_since(self.target_since).as_secs_f64(),
        });
        Status {
            vm: self.node.identity.settings.vm.clone(),
            role: "agent".to_owned(),
            manifest: documents.manifest().revision,
            refused: documents.refused().map(str::to_owned),
            vms: documents.vms().revision,
            accepting: self.accepting(),
            in_flight: self.attempts.running(),
            origin_bytes: self.origin_bytes,
            rollouts: rollouts.into_iter().collect(),
            endpoints: vec![proto::EndpointRow {
                vm: self.node.identity.settings.vm.clone(),
                release: self.endpoint.serving().cloned(),
                state: phase_name(self.endpoint.phase()).to_owned(),
                in_flight: self.attempts.running() as u32,
            }],
            quarantined: Vec::new(),
        }
    }

    fn count_ready(&self, target: &Target) -> usize {
        let ready = |vm: &&VmId| {
            let member = self.node.members.get(vm);
            member.is_some_and(|m| m.serving.as_ref() == Some(&target.release))
        };
        self.placement.vms_of(&target.rollout).iter().filter(ready).count()
    }
}

/// Hands a chunk to the engine on a worker thread.
fn stage(shared: &Shared, release: ReleaseId, digest: Digest, chunk: Bytes) {
    let Shared { engine, mailbox, workers, .. } = shared.clone();
    workers.run(move || {
        let ok = engine.stage(&release, digest, &chunk);
        mailbox.send(Event::Staged { release, digest, chunk, ok });
    });
}

fn fetch_error(error: platform::BlobError) -> FetchError {
    match error {
        platform::BlobError::Missing => FetchError::Missing,
        platform::BlobError::Limited(wait) => FetchError::Limited(wait),
        platform::BlobError::Corrupted => FetchError::Corrupted,
        platform::BlobError::Failed(_) => FetchError::Failed,
    }
}

fn phase_name(phase: &Phase) -> &'static str {
    match phase {
        Phase::Unknown => "suspect",
        Phase::Settled => "ready",
        Phase::Loading | Phase::Waiting => "loading",
        Phase::Draining | Phase::Switching => "switching",
    }
}
