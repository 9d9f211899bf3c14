//! The load of one release: its chunk lists, their transfers and what the engine has taken.

use std::{
    collections::{BTreeMap, HashSet},
    time::Instant,
};

use base::{Digest, Fence, ReleaseId, VmId};
use bytes::Bytes;
use chunks::{Place, Plan, Transfer, TransferSettings};
use manifest::{ChunkList, Release};
use rollout::Order;

/// A chunk on its way to the engine.
#[derive(Debug)]
pub(crate) struct StagedChunk {
    pub(crate) release: ReleaseId,
    /// The load that it belongs to.
    load: Fence,
    pub(crate) digest: Digest,
    pub(crate) bytes: Bytes,
}

/// The load of a release.
pub(crate) struct Loading {
    pub(crate) release: Release,
    /// Fencing number of its order to prepare, which tells it from other loads of the release.
    load: Fence,
    /// The order to prepare, which waits for the chunk lists.
    order: Option<Order>,
    /// Lists that have come, by digest.
    lists: BTreeMap<Digest, ChunkList>,
    /// Transfers, once the engine is prepared.
    pub(crate) transfers: BTreeMap<Digest, Transfer>,
    /// Chunks that the engine has taken.
    staged: HashSet<Digest>,
}

impl Loading {
    pub(crate) fn new(release: Release, order: Order) -> Loading {
        Loading {
            release,
            load: order.fence,
            order: Some(order),
            lists: BTreeMap::new(),
            transfers: BTreeMap::new(),
            staged: HashSet::new(),
        }
    }

    /// A chunk of this load that is to be handed to the engine.
    pub(crate) fn chunk_to_stage(&self, digest: Digest, bytes: Bytes) -> StagedChunk {
        StagedChunk { release: self.release.id.clone(), load: self.load, digest, bytes }
    }

    /// Whether a chunk was handed to the engine by this load; the engine dropped those of earlier
    /// ones when it was prepared again.
    pub(crate) fn owns(&self, chunk: &StagedChunk) -> bool {
        chunk.load == self.load && chunk.release == self.release.id
    }

    pub(crate) fn id(&self) -> &ReleaseId {
        &self.release.id
    }

    /// Lists that have not come.
    pub(crate) fn missing_lists(&self) -> Vec<Digest> {
        let parts = self.release.parts.iter().map(|p| p.chunks);
        parts.filter(|digest| !self.lists.contains_key(digest)).collect()
    }

    pub(crate) fn add_list(&mut self, digest: Digest, list: ChunkList) {
        if self.release.parts.iter().any(|p| p.chunks == digest) {
            self.lists.insert(digest, list);
        }
    }

    /// The order to prepare with the digests of all chunks, once all lists are there.
    pub(crate) fn take_order(&mut self) -> Option<(Order, Vec<Digest>)> {
        if !self.missing_lists().is_empty() {
            return None;
        }
        let order = self.order.take()?;
        Some((order, self.digests().into_iter().collect()))
    }

    fn digests(&self) -> HashSet<Digest> {
        self.lists.values().flat_map(|list| list.digests.iter().copied()).collect()
    }

    /// Starts the transfers among the VMs at `places`.
    pub(crate) fn start(
        &mut self,
        places: &[Place],
        me: &VmId,
        settings: TransferSettings,
        now: Instant,
    ) {
        for (digest, list) in &self.lists {
            let plan = Plan::new(digest, places, me);
            let transfer = Transfer::new(list.clone(), plan, settings, now);
            self.transfers.insert(*digest, transfer);
        }
    }

    /// Digest and size bound of a chunk.
    pub(crate) fn chunk(&self, list: &Digest, chunk: u32) -> Option<(Digest, base::ByteSize)> {
        let list = self.lists.get(list)?;
        Some((*list.digests.get(chunk as usize)?, list.chunk_size))
    }

    /// Positions of all chunks, by list.
    pub(crate) fn all_chunks(&self) -> Vec<(Digest, u32, Digest)> {
        let positions = |(list, chunks): (&Digest, &ChunkList)| {
            let list = *list;
            let numbered = chunks.digests.clone().into_iter().enumerate();
            numbered.map(move |(i, digest)| (list, i as u32, digest))
        };
        self.lists.iter().flat_map(positions).collect()
    }

    /// The engine took a chunk; returns whether it has all of them now.
    pub(crate) fn staged(&mut self, digest: Digest) -> bool {
        self.staged.insert(digest);
        self.transfers.values().all(Transfer::is_complete)
            && !self.transfers.is_empty()
            && self.staged.len() == self.digests().len()
    }
}

#[cfg(test)]
mod tests;
