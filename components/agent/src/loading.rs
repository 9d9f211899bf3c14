//! State of loading one release: its chunk lists, their transfers and the staged chunks.

use std::{
    collections::{BTreeMap, HashSet},
    time::Instant,
};

use base::{Digest, Fence, ReleaseId, VmId};
use chunks::{Plan, Transfer, TransferSettings, VmLocation};
use manifest::{ChunkList, Release};
use rollout::Order;

/// Identifies one load. Chunks staged before the engine was prepared again do not count for the
/// next load.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadId {
    pub(crate) release: ReleaseId,
    /// Fencing token of the prepare order.
    pub(crate) fence: Fence,
}

/// State of loading a release.
pub(crate) struct Loading {
    id: LoadId,
    pub(crate) release: Release,
    /// The prepare order, until all chunk lists have been read.
    order: Option<Order>,
    /// Chunk lists read so far, by digest.
    lists: BTreeMap<Digest, ChunkList>,
    /// Transfers by digest of their list; empty until the engine is prepared.
    pub(crate) transfers: BTreeMap<Digest, Transfer>,
    /// Chunks that the engine has accepted.
    staged: HashSet<Digest>,
}

impl Loading {
    pub(crate) fn new(release: Release, order: Order) -> Loading {
        let id = LoadId { release: release.id.clone(), fence: order.fence };
        Loading {
            id,
            release,
            order: Some(order),
            lists: BTreeMap::new(),
            transfers: BTreeMap::new(),
            staged: HashSet::new(),
        }
    }

    pub(crate) fn id(&self) -> &LoadId {
        &self.id
    }

    /// Digests of the lists that have not been read.
    pub(crate) fn missing_lists(&self) -> Vec<Digest> {
        let parts = self.release.parts.iter().map(|p| p.chunks);
        parts.filter(|digest| !self.lists.contains_key(digest)).collect()
    }

    pub(crate) fn add_list(&mut self, digest: Digest, list: ChunkList) {
        if self.release.parts.iter().any(|p| p.chunks == digest) {
            self.lists.insert(digest, list);
        }
    }

    /// Takes the prepare order, with the digests of all chunks, once all lists have been read.
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

    /// Starts the transfers among the VMs of `locations`.
    pub(crate) fn start(
        &mut self,
        locations: &[VmLocation],
        me: &VmId,
        settings: TransferSettings,
        now: Instant,
    ) {
        for (digest, list) in &self.lists {
            let plan = Plan::new(digest, locations, me);
            let transfer = Transfer::new(list.clone(), plan, settings, now);
            self.transfers.insert(*digest, transfer);
        }
    }

    /// Digest and maximum size of a chunk.
    pub(crate) fn chunk(&self, list: &Digest, chunk: u32) -> Option<(Digest, base::ByteSize)> {
        let list = self.lists.get(list)?;
        Some((*list.digests.get(chunk as usize)?, list.chunk_size))
    }

    /// List digest, index and digest of every chunk.
    pub(crate) fn all_chunks(&self) -> Vec<(Digest, u32, Digest)> {
        let positions = |(list, chunks): (&Digest, &ChunkList)| {
            let list = *list;
            let numbered = chunks.digests.clone().into_iter().enumerate();
            numbered.map(move |(i, digest)| (list, i as u32, digest))
        };
        self.lists.iter().flat_map(positions).collect()
    }

    /// Records that the engine accepted a chunk for a load; returns whether this load is complete.
    pub(crate) fn mark_staged(&mut self, load: &LoadId, digest: Digest) -> bool {
        if self.id != *load {
            return false;
        }
        self.staged.insert(digest);
        self.transfers.values().all(Transfer::is_complete)
            && !self.transfers.is_empty()
            && self.staged.len() == self.digests().len()
    }
}

#[cfg(test)]
mod tests;
