//! Batching of announcements to other VMs.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use base::VmId;

/// A pending announcement to one VM.
#[derive(Debug)]
struct Pending {
    chunks: Vec<u32>,
    /// When the announcement is to be sent.
    due: Instant,
}

/// Pending announcements by VM.
#[derive(Debug, Default)]
pub(crate) struct Announcements {
    pending: BTreeMap<VmId, Pending>,
}

impl Announcements {
    /// Adds a chunk to the announcement to `to`, which is sent after `delay` at the latest.
    pub(crate) fn add(&mut self, to: &VmId, chunk: u32, delay: Duration, now: Instant) {
        let due = now + delay;
        let new_entry = || Pending { chunks: Vec::new(), due };
        let entry = self.pending.entry(to.clone()).or_insert_with(new_entry);
        entry.due = entry.due.min(due);
        if entry.chunks.last() != Some(&chunk) {
            entry.chunks.push(chunk);
        }
    }

    /// Replaces the pending announcement to `to`.
    pub(crate) fn replace(&mut self, to: &VmId, chunks: Vec<u32>, due: Instant) {
        self.pending.insert(to.clone(), Pending { chunks, due });
    }

    /// Removes and returns the announcements that are due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<(VmId, Vec<u32>)> {
        let due: Vec<VmId> = self
            .pending
            .iter()
            .filter(|(_, entry)| entry.due <= now)
            .map(|(vm, _)| vm.clone())
            .collect();
        let take = |vm: VmId| self.pending.remove(&vm).map(|entry| (vm, entry.chunks));
        due.into_iter().filter_map(take).collect()
    }
}
