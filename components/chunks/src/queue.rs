//! Priority queue of the chunks that a transfer can fetch from peers.

use std::{collections::BTreeSet, time::Instant};

/// Priority of a chunk; the lowest key is fetched first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// Segment of the list if the model exceeds the memory; otherwise 0.
    pub(crate) segment: u32,
    /// Number of peers that hold the chunk.
    pub(crate) copies: u32,
    /// Tie-breaker that differs between VMs, so that they do not all fetch the same chunk first.
    pub(crate) salt: u32,
    pub(crate) chunk: u32,
}

/// Chunks that can be fetched now, and chunks that are deferred.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: BTreeSet<Key>,
    /// Deferred chunks with the time at which they are considered again.
    waiting: BTreeSet<(Instant, u32)>,
}

impl Queue {
    pub(crate) fn insert(&mut self, key: Key) {
        self.ready.insert(key);
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.ready.remove(&key);
    }

    /// Considers a chunk again at `until`.
    pub(crate) fn defer(&mut self, until: Instant, chunk: u32) {
        self.waiting.insert((until, chunk));
    }

    /// Removes and returns the deferred chunks that are due.
    pub(crate) fn take_due(&mut self, now: Instant) -> Vec<u32> {
        let later = self.waiting.split_off(&(now, u32::MAX));
        let due = std::mem::replace(&mut self.waiting, later);
        due.into_iter().map(|(_, chunk)| chunk).collect()
    }

    /// The first `count` chunks in priority order, without removing them.
    pub(crate) fn first_chunks(&self, count: usize) -> Vec<u32> {
        self.ready.iter().take(count).map(|key| key.chunk).collect()
    }
}
