//! The order in which a transfer fetches chunks that peers have.

use std::{collections::BTreeSet, time::Instant};

/// Place of a chunk in the order: lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Key {
    /// Part of the list, where memory is short; else 0.
    pub(crate) part: u32,
    /// Peers that have it.
    pub(crate) copies: u32,
    /// Differs between VMs, so that they do not all fetch the same chunk first.
    pub(crate) salt: u32,
    pub(crate) chunk: u32,
}

/// Chunks that can be fetched now, and those that wait.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    ready: BTreeSet<Key>,
    /// Chunks that are looked at again at a time.
    waiting: BTreeSet<(Instant, u32)>,
}

impl Queue {
    pub(crate) fn insert(&mut self, key: Key) {
        self.ready.insert(key);
    }

    pub(crate) fn remove(&mut self, key: Key) {
        self.ready.remove(&key);
    }

    pub(crate) fn wait(&mut self, until: Instant, chunk: u32) {
        self.waiting.insert((until, chunk));
    }

    /// Takes the chunks whose wait is over.
    pub(crate) fn due(&mut self, now: Instant) -> Vec<u32> {
        let later = self.waiting.split_off(&(now, u32::MAX));
        let due = std::mem::replace(&mut self.waiting, later);
        due.into_iter().map(|(_, chunk)| chunk).collect()
    }

    /// The first chunks in order.
    pub(crate) fn first(&self, count: usize) -> Vec<u32> {
        self.ready.iter().take(count).map(|key| key.chunk).collect()
    }
}
