//! The agent's part in the spread of weights: chunk lists, fetches and hand-over to the engine.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{ByteSize, Digest, ReleaseId, VmId};
use bytes::Bytes;
use chunks::{Action as ChunkAction, FetchError, Source, TransferSettings};
use manifest::ChunkList;
use proto::{Announcement, PeerClient};
use rollout::Order;
use stakker::{CX, after};

use crate::{
    core::{Core, Shared},
    event::Event,
    loading::Loading,
};

/// Pause before something that failed is tried again.
const RETRY: Duration = Duration::from_millis(300);
/// Chunk lists that are kept.
const KEPT_LISTS: usize = 4;

impl Core {
    /// Reads the chunk lists of a release, which the order to prepare names.
    pub(crate) fn prepare(&mut self, order: Order) {
        let manifest = self.node.documents.manifest();
        let Some(release) = manifest.release_named(&order.release) else { return };
        let loading = Loading::new(release, order);
        for digest in loading.missing_lists() {
            self.read_list(digest);
        }
        self.loading = Some(loading);
    }

    pub(crate) fn read_list(&self, digest: Digest) {
        if let Some((_, list)) = self.lists.iter().find(|(kept, _)| *kept == digest) {
            let list = Some(ChunkList::clone(list));
            self.shared.mailbox.send(Event::List { digest, list });
            return;
        }
        let Shared { chunk_client, mailbox, workers, .. } = self.shared.clone();
        let addrs = self.node.identity.settings.platform.config.clone();
        workers.run(move || {
            let name = format!("chunks/{digest}");
            let read = |addr| platform::read_value(&chunk_client, addr, &name).ok();
            let text = addrs.into_iter().find_map(read);
            let list = text.and_then(|t| ChunkList::parse(&t, digest).ok());
            mailbox.send(Event::List { digest, list });
        });
    }

    pub(crate) fn list(&mut self, cx: CX![], digest: Digest, list: Option<ChunkList>) {
        if let Some(list) = &list {
            self.keep_list(digest, list);
        }
        let Some(loading) = &mut self.loading else { return };
        match list {
            Some(list) => loading.add_list(digest, list),
            None => {
                after!(RETRY, [cx], retry_list(digest));
                return;
            }
        }
        if let Some((order, chunks)) = loading.take_order() {
            self.send_order(order, chunks, cx.now());
        }
    }

    fn keep_list(&mut self, digest: Digest, list: &ChunkList) {
        if self.lists.iter().any(|(kept, _)| *kept == digest) {
            return;
        }
        if self.lists.len() == KEPT_LISTS {
            self.lists.pop_front();
        }
        self.lists.push_back((digest, Arc::new(list.clone())));
    }

    pub(crate) fn retry_list(&mut self, _: CX![], digest: Digest) {
        let wanted = self.loading.as_ref().is_some_and(|l| l.missing_lists().contains(&digest));
        if wanted {
            self.read_list(digest);
        }
    }

    pub(crate) fn load(&mut self, release: &ReleaseId, now: Instant) {
        let members = self.rollout_vms();
        let me = self.node.identity.settings.vm.clone();
        let Some(loading) = self.loading.as_mut().filter(|l| l.id() == release) else { return };
        let settings =
            TransferSettings { strategy: self.settings.strategy, ..TransferSettings::default() };
        loading.start(&members, &me, settings, now);
        for (list, chunk, digest) in loading.all_chunks() {
            let Some(bytes) = self.shared.held(&digest) else { continue };
            if let Some(transfer) = loading.transfers.get_mut(&list) {
                transfer.held(chunk);
            }
            stage(&self.shared, release.clone(), digest, bytes);
        }
        self.poll_transfers(now);
    }

    pub(crate) fn poll_transfers(&mut self, now: Instant) {
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

    pub(crate) fn announce(&self, list: Digest, to: &VmId, chunks: Vec<u32>) {
        let Some(vm) = self.node.documents.vms().get(to) else { return };
        let from = self.node.identity.settings.vm.clone();
        let announcement = Announcement { from, list, chunks };
        let call = move |client| async move { PeerClient::announce(&client, announcement).await };
        // A lost announcement is made up for by the receiver's patience.
        self.node.peers.call(vm.control, call, |_| {});
    }

    pub(crate) fn fetch(&self, list: Digest, chunk: u32, digest: Digest, source: Source) {
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

    pub(crate) fn fetched(
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

    pub(crate) fn staged(
        &mut self,
        cx: CX![],
        release: ReleaseId,
        digest: Digest,
        chunk: Bytes,
        ok: bool,
    ) {
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

    pub(crate) fn stage_again(
        &mut self,
        _: CX![],
        release: ReleaseId,
        digest: Digest,
        chunk: Bytes,
    ) {
        if self.loading.as_ref().is_some_and(|l| *l.id() == release) {
            stage(&self.shared, release, digest, chunk);
        }
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
