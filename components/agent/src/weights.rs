//! Weight distribution on this agent: reads chunk lists, fetches chunks and stages them in the
//! engine.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{ByteSize, Digest, ReleaseId, VmId};
use bytes::Bytes;
use chunks::{Action as ChunkAction, FetchError, OriginBudget, Plan, Source, TransferSettings};
use manifest::ChunkList;
use metrics::counter;
use proto::{Announcement, PeerClient};
use rollout::Order;
use stakker::{CX, after};
use telemetry::names;

use crate::{
    core::{Core, Shared},
    event::Event,
    loading::{LoadId, Loading},
};

/// Delay before a failed operation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum size of a chunk list, which is that of any value of the configuration service.
const MAX_LIST_BYTES: ByteSize = ByteSize(manifest::MAX_VALUE_BYTES as u64);
/// Number of VMs of a rollout that read a chunk list from the configuration service.
const LIST_READERS: usize = 2;
/// Attempts to read a chunk list from peers before the configuration service is asked.
const MAX_PEER_LIST_ATTEMPTS: u32 = 20;
/// Delay before a chunk list is read again; grows by this with each attempt, up to `RETRY_DELAY`.
const LIST_RETRY_STEP: Duration = Duration::from_millis(30);

impl Core {
    /// Reads the chunk lists of a release, whose digests the prepare order contains.
    pub(crate) fn prepare(&mut self, order: Order) {
        let manifest = self.node.documents.manifest();
        let Some(release) = manifest.release_by_id(&order.release) else { return };
        let loading = Loading::new(release, order);
        let digests = loading.missing_lists();
        self.loading = Some(loading);
        for digest in digests {
            self.fetch_list(digest, 0);
        }
    }

    /// Reads a chunk list. A few VMs read it from the configuration service, the others from peers
    /// according to the list's plan, so that the load on the service does not grow with the fleet.
    pub(crate) fn fetch_list(&self, digest: Digest, attempt: u32) {
        if let Some(text) = self.shared.find_list(&digest) {
            let list = ChunkList::parse(&text, digest).ok();
            self.shared.mailbox.send(Event::List { digest, attempt, list });
            return;
        }
        let settings = &self.node.identity.settings;
        let peer = self.list_peer(digest, attempt);
        let key = settings.peer_key.clone();
        let addrs = settings.platform.config.clone();
        let shared = self.shared.clone();
        self.shared.workers.run(move || {
            let text = match peer {
                Some(addr) => {
                    let key = Some(key.expose());
                    sources::fetch_blob(&shared.peer_client, addr, key, digest, MAX_LIST_BYTES).ok()
                }
                None => {
                    let name = format!("chunks/{digest}");
                    let read =
                        |addr| sources::read_value(&shared.platform_client, addr, &name).ok();
                    addrs.into_iter().find_map(read).map(Bytes::from)
                }
            };
            let list = text.as_ref().and_then(|t| ChunkList::parse(t, digest).ok());
            if let (Some(text), Some(_)) = (text, &list) {
                shared.cache_list(digest, text);
            }
            shared.mailbox.send(Event::List { digest, attempt, list });
        });
    }

    /// The peer to read a chunk list from; `None` to read it from the configuration service.
    fn list_peer(&self, digest: Digest, attempt: u32) -> Option<SocketAddr> {
        let plan = Plan::new(&digest, &self.locations, &self.node.identity.settings.vm);
        let is_reader = plan.rank(0).is_none_or(|rank| rank < LIST_READERS);
        if is_reader || attempt >= MAX_PEER_LIST_ATTEMPTS {
            return None;
        }
        let neighbours = plan.neighbours();
        let neighbour = || neighbours.get(attempt as usize % neighbours.len().max(1));
        let vm = plan.parent(0).filter(|_| attempt.is_multiple_of(2)).or_else(neighbour)?;
        self.node.documents.vms().get(vm).map(|vm| vm.data)
    }

    pub(crate) fn handle_list(
        &mut self,
        cx: CX![],
        digest: Digest,
        attempt: u32,
        list: Option<ChunkList>,
    ) {
        let Some(loading) = &mut self.loading else { return };
        match list {
            Some(list) => loading.add_list(digest, list),
            None => {
                let wait = (LIST_RETRY_STEP * (attempt + 1)).min(RETRY_DELAY);
                after!(wait, [cx], retry_list(digest, attempt + 1));
                return;
            }
        }
        if let Some((order, chunks)) = loading.take_order() {
            self.send_order(order, chunks, cx.now());
        }
    }

    pub(crate) fn retry_list(&mut self, _: CX![], digest: Digest, attempt: u32) {
        let wanted = self.loading.as_ref().is_some_and(|l| l.missing_lists().contains(&digest));
        if wanted {
            self.fetch_list(digest, attempt);
        }
    }

    pub(crate) fn start_load(&mut self, release: &ReleaseId, now: Instant) {
        self.update_plans(now);
        let settings = self.transfer_settings();
        let me = self.node.identity.settings.vm.clone();
        let Some(loading) = self.loading.as_mut().filter(|l| l.id().release == *release) else {
            return;
        };
        loading.start(&self.locations, &me, settings, now);
        for (list, chunk, digest) in loading.all_chunks() {
            let Some(bytes) = self.shared.find_blob(&digest) else { continue };
            if let Some(transfer) = loading.transfers.get_mut(&list) {
                transfer.mark_held(chunk, now);
            }
            stage(&self.shared, loading.id().clone(), digest, bytes);
        }
        self.poll_transfers(now);
    }

    fn transfer_settings(&self) -> TransferSettings {
        let origin = self.node.documents.manifest().origin;
        TransferSettings {
            strategy: self.settings.strategy,
            memory: self.settings.memory,
            origin: OriginBudget { copies: origin.copies, percent: origin.percent },
            ..TransferSettings::default()
        }
    }

    pub(crate) fn poll_transfers(&mut self, now: Instant) {
        let mut actions = Vec::new();
        for loading in [&mut self.loading, &mut self.seeding].into_iter().flatten() {
            for (list, transfer) in &mut loading.transfers {
                actions.extend(transfer.poll(now).into_iter().map(|action| (*list, action)));
            }
        }
        for (list, action) in actions {
            match action {
                ChunkAction::Fetch { chunk, digest, source } => {
                    self.start_fetch(list, chunk, digest, source);
                }
                ChunkAction::Announce { to, chunks } => self.announce(list, &to, chunks),
            }
        }
    }

    pub(crate) fn announce(&self, list: Digest, to: &VmId, chunks: Vec<u32>) {
        let Some(vm) = self.node.documents.vms().get(to) else { return };
        let from = self.node.identity.settings.vm.clone();
        let announcement = Announcement { from, list, chunks };
        let call = move |client| async move { PeerClient::announce(&client, announcement).await };
        // If an announcement is lost, the receiver finds the chunks by its periodic search.
        self.node.peers.call(vm.control, call, |_| {});
    }

    pub(crate) fn start_fetch(&self, list: Digest, chunk: u32, digest: Digest, source: Source) {
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
            let client = if key.is_some() { &shared.peer_client } else { &shared.platform_client };
            let key = key.as_ref().map(settings::PeerKey::expose);
            let result = sources::fetch_blob(client, addr, key, digest, size);
            if let Ok(bytes) = &result {
                shared.throttle(ByteSize(bytes.len() as u64));
            }
            let result = result.map_err(fetch_error);
            shared.mailbox.send(Event::Fetched { list, chunk, source, result });
        });
    }

    pub(crate) fn handle_fetched(
        &mut self,
        list: Digest,
        chunk: u32,
        source: Source,
        result: Result<Bytes, FetchError>,
        now: Instant,
    ) {
        self.record_fetch(&source, &result);
        let Some(loading) = &mut self.loading else { return };
        let digest = loading.chunk(&list, chunk).map(|(digest, _)| digest);
        let load = loading.id().clone();
        let Some(transfer) = loading.transfers.get_mut(&list) else { return };
        match (result, digest) {
            (Ok(bytes), Some(digest)) => {
                let mut cache = self.shared.cache.lock().expect("no holder panics");
                cache.insert(digest, bytes.clone());
                drop(cache);
                transfer.handle_fetched(chunk, &source, now);
                stage(&self.shared, load, digest, bytes);
            }
            (Err(error), _) => transfer.handle_failure(chunk, &source, error, now),
            (Ok(_), None) => {}
        }
        self.poll_transfers(now);
    }

    fn record_fetch(&mut self, source: &Source, result: &Result<Bytes, FetchError>) {
        match result {
            Ok(bytes) => {
                let size = bytes.len() as u64;
                counter!(names::CHUNK_BYTES, "source" => source.kind()).increment(size);
                if *source == Source::Origin {
                    self.origin_bytes += size;
                }
            }
            Err(error) => counter!(names::CHUNK_ERRORS, "error" => error.kind()).increment(1),
        }
    }

    pub(crate) fn handle_staged(
        &mut self,
        cx: CX![],
        load: &LoadId,
        digest: Digest,
        chunk: Bytes,
        ok: bool,
    ) {
        let Some(loading) = self.loading.as_mut().filter(|l| l.id() == load) else { return };
        if !ok {
            after!(RETRY_DELAY, [cx], retry_stage(load.clone(), digest, chunk));
            return;
        }
        if loading.mark_staged(load, digest) {
            let now = cx.now();
            self.handle_rollout_event(rollout::Event::Staged(load.release.clone()), now);
        }
    }

    pub(crate) fn retry_stage(&mut self, _: CX![], load: LoadId, digest: Digest, chunk: Bytes) {
        if self.loading.as_ref().is_some_and(|l| *l.id() == load) {
            stage(&self.shared, load, digest, chunk);
        }
    }
}

/// Uploads a chunk to the engine on a worker thread.
fn stage(shared: &Shared, load: LoadId, digest: Digest, chunk: Bytes) {
    let Shared { engine, mailbox, workers, .. } = shared.clone();
    workers.run(move || {
        let ok = engine.stage(&load.release, digest, &chunk);
        mailbox.send(Event::Staged { load, digest, chunk, ok });
    });
}

fn fetch_error(error: sources::BlobError) -> FetchError {
    match error {
        sources::BlobError::Missing => FetchError::Missing,
        sources::BlobError::Limited(wait) => FetchError::Limited(wait),
        sources::BlobError::Corrupted => FetchError::Corrupted,
        sources::BlobError::Failed(_) => FetchError::Failed,
    }
}
