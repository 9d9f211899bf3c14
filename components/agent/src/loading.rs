//! The load of one release: its chunk lists, their transfers and what the engine has taken.

use std::{
    collections::{BTreeMap, HashSet},
    time::Instant,
};

use base::{Digest, Fence, ReleaseId, VmId};
use chunks::{Plan, Transfer, TransferSettings, VmLocation};
use manifest::{ChunkList, Release};
use rollout::Order;

/// Names one load: chunks that an engine took before it was prepared again do not count for the load
/// after.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LoadId {
    pub(crate) release: ReleaseId,
    /// Fencing number of the order to prepare.
    pub(crate) fence: Fence,
}

/// The load of a release.
pub(crate) struct Loading {
    id: LoadId,
    pub(crate) release: Release,
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
        places: &[VmLocation],
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

    /// The engine took a chunk for a load; returns whether it has all chunks of this load now.
    pub(crate) fn staged(&mut self, load: &LoadId, digest: Digest) -> bool {
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
