//! Announcements that wait to be sent together.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::VmId;

/// Chunks to announce to one VM.
#[derive(Debug)]
struct Item {
    chunks: Vec<u32>,
    /// When the announcement is sent at the latest.
    due: Instant,
}

/// Announcements by VM.
#[derive(Debug, Default)]
pub(crate) struct News {
    items: BTreeMap<VmId, Item>,
}

impl News {
    /// Adds a chunk to what `to` is told after `delay` at the latest.
    pub(crate) fn add(&mut self, to: &VmId, chunk: u32, delay: Duration, now: Instant) {
        let due = now + delay;
        let fresh = || Item { chunks: Vec::new(), due };
        let item = self.items.entry(to.clone()).or_insert_with(fresh);
        item.due = item.due.min(due);
        if item.chunks.last() != Some(&chunk) {
            item.chunks.push(chunk);
        }
    }

    /// Replaces what `to` is told.
    pub(crate) fn set(&mut self, to: &VmId, chunks: Vec<u32>, due: Instant) {
        self.items.insert(to.clone(), Item { chunks, due });
    }

    /// Takes what is due.
    pub(crate) fn take(&mut self, now: Instant) -> Vec<(VmId, Vec<u32>)> {
        let due: Vec<VmId> =
            self.items.iter().filter(|(_, i)| i.due <= now).map(|(vm, _)| vm.clone()).collect();
        let take = |vm: VmId| self.items.remove(&vm).map(|item| (vm, item.chunks));
        due.into_iter().filter_map(take).collect()
    }
}
