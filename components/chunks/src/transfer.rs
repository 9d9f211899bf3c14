//! Decides which chunk of a list is fetched next, and from where.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{Digest, VmId};
use manifest::ChunkList;
use settings::Strategy;

use crate::Tree;

/// Bounds of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TransferSettings {
    /// How chunks spread.
    pub strategy: Strategy,
    /// Fetches in progress at a time.
    pub window: usize,
    /// Wait for an announcement before ancestors are asked without one.
    pub patience: Duration,
    /// Wait, per position in a chunk's tree, before a VM reads it from the origin itself.
    pub takeover: Duration,
    /// Delay before a failed source is asked for the same chunk again.
    pub backoff: Duration,
}

impl Default for TransferSettings {
    fn default() -> TransferSettings {
        TransferSettings {
            strategy: Strategy::Tree,
            window: 8,
            patience: Duration::from_millis(1500),
            takeover: Duration::from_secs(4),
            backoff: Duration::from_millis(300),
        }
    }
}

/// Where a chunk comes from.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Source {
    /// Another agent.
    Peer(VmId),
    /// The weight store.
    Store,
    /// The origin.
    Origin,
}

/// Why a fetch failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FetchError {
    /// The source does not have the chunk.
    Missing,
    /// The source asks to wait.
    Limited(Duration),
    /// The bytes did not match the digest.
    Corrupted,
    /// The connection failed or stalled.
    Failed,
}

/// What the process is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Fetch a chunk.
    Fetch {
        /// Position in the list.
        chunk: u32,
        /// Its digest.
        digest: Digest,
        /// Where from.
        source: Source,
    },
    /// Tell a VM which chunks it can fetch here.
    Announce {
        /// The VM.
        to: VmId,
        /// Positions in the list.
        chunks: Vec<u32>,
    },
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum State {
    Missing,
    Fetching(Source),
    Held,
}

#[derive(Debug)]
struct Chunk {
    state: State,
    /// Peers that announced it.
    offers: Vec<VmId>,
    /// No fetch starts before.
    not_before: Instant,
    /// Failed fetches so far.
    failures: u32,
}

/// The transfer of one chunk list to this VM.
#[derive(Debug)]
pub struct Transfer {
    list: ChunkList,
    tree: Tree,
    settings: TransferSettings,
    chunks: Vec<Chunk>,
    started: Instant,
    /// Number of chunks in state `Fetching`.
    fetching: usize,
    /// Number of chunks in state `Held`.
    held: usize,
    /// The store is not asked before, as it lacked a chunk or limits reads.
    store_after: Instant,
    /// Announcements that are not yet sent.
    news: HashMap<VmId, Vec<u32>>,
    /// Corrupted chunks that each source gave.
    blamed: HashMap<Source, u32>,
}

/// The store is asked again after it lacked a chunk.
const STORE_RECHECK: Duration = Duration::from_secs(10);
/// A peer that gave this many corrupted chunks is asked last.
const MAX_BLAME: u32 = 3;

impl Transfer {
    /// Starts the transfer of `list` along `tree`.
    pub fn new(list: ChunkList, tree: Tree, settings: TransferSettings, now: Instant) -> Transfer {
        let chunk =
            || Chunk { state: State::Missing, offers: Vec::new(), not_before: now, failures: 0 };
        Transfer {
            chunks: list.digests.iter().map(|_| chunk()).collect(),
            list,
            tree,
            settings,
            started: now,
            fetching: 0,
            held: 0,
            store_after: now,
            news: HashMap::new(),
            blamed: HashMap::new(),
        }
    }

    /// Whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.held == self.chunks.len()
    }

    /// Chunks that are held, and all.
    pub fn progress(&self) -> (usize, usize) {
        (self.held, self.chunks.len())
    }

    /// Replaces the trees after the set of VMs changed.
    pub fn set_tree(&mut self, tree: Tree) {
        if self.tree == tree {
            return;
        }
        self.tree = tree;
        for chunk in 0..self.chunks.len() as u32 {
            if self.chunks[chunk as usize].state == State::Held {
                self.announce(chunk);
            }
        }
    }

    /// A peer announced chunks.
    pub fn offered(&mut self, from: &VmId, chunks: &[u32]) {
        for &index in chunks {
            let Some(chunk) = self.chunks.get_mut(index as usize) else { continue };
            if chunk.state != State::Held && !chunk.offers.contains(from) {
                chunk.offers.push(from.clone());
            }
        }
    }

    /// A chunk is held already, for instance from another version.
    pub fn held(&mut self, index: u32) {
        let chunk = &mut self.chunks[index as usize];
        if chunk.state == State::Held {
            return;
        }
        if matches!(chunk.state, State::Fetching(_)) {
            self.fetching -= 1;
        }
        chunk.state = State::Held;
        chunk.offers = Vec::new();
        self.held += 1;
        self.announce(index);
    }

    /// A fetch failed.
    pub fn failed(&mut self, index: u32, source: &Source, error: FetchError, now: Instant) {
        let chunk = &mut self.chunks[index as usize];
        if chunk.state != State::Fetching(source.clone()) {
            return;
        }
        chunk.state = State::Missing;
        chunk.failures += 1;
        self.fetching -= 1;
        if let Source::Peer(vm) = source {
            chunk.offers.retain(|offer| offer != vm);
        }
        chunk.not_before = now + self.settings.backoff;
        match error {
            FetchError::Missing if *source == Source::Store => {
                self.store_after = now + STORE_RECHECK;
                chunk.not_before = now;
            }
            FetchError::Missing => {}
            FetchError::Limited(wait) if *source == Source::Store => self.store_after = now + wait,
            FetchError::Limited(wait) => chunk.not_before = now + wait,
            FetchError::Corrupted => {
                *self.blamed.entry(source.clone()).or_default() += 1;
                chunk.not_before = now;
            }
            FetchError::Failed => {}
        }
    }

    /// Decides what to do now.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions: Vec<Action> =
            self.news.drain().map(|(to, chunks)| Action::Announce { to, chunks }).collect();
        for index in self.candidates() {
            if self.fetching >= self.settings.window {
                break;
            }
            let Some(source) = self.source(index, now) else { continue };
            self.chunks[index as usize].state = State::Fetching(source.clone());
            self.fetching += 1;
            let digest = self.list.digests[index as usize];
            actions.push(Action::Fetch { chunk: index, digest, source });
        }
        actions
    }

    /// Missing chunks, those first that this VM passes on to the most others.
    fn candidates(&self) -> Vec<u32> {
        let missing = |i: &u32| self.chunks[*i as usize].state == State::Missing;
        let mut all: Vec<u32> = (0..self.chunks.len() as u32).filter(missing).collect();
        all.sort_by_key(|&i| self.tree.depth_order(i));
        all
    }

    fn source(&self, index: u32, now: Instant) -> Option<Source> {
        let chunk = &self.chunks[index as usize];
        if now < chunk.not_before {
            return None;
        }
        if self.settings.strategy == Strategy::Origin {
            return Some(Source::Origin);
        }
        let trusted = |vm: &&VmId| self.blame(vm) < MAX_BLAME;
        if let Some(vm) = chunk.offers.iter().find(trusted) {
            return Some(Source::Peer(vm.clone()));
        }
        let waited = now.saturating_duration_since(self.started);
        let position = self.tree.depth_order(index)?;
        if waited >= self.settings.takeover * position as u32 {
            return Some(if now >= self.store_after { Source::Store } else { Source::Origin });
        }
        if waited < self.settings.patience {
            return None;
        }
        let ancestors = self.tree.ancestors(index);
        let asked = chunk.failures as usize % ancestors.len().max(1);
        ancestors.get(asked).map(|vm| Source::Peer((*vm).clone()))
    }

    fn blame(&self, vm: &VmId) -> u32 {
        self.blamed.get(&Source::Peer(vm.clone())).copied().unwrap_or(0)
    }

    fn announce(&mut self, index: u32) {
        for vm in self.tree.children(index) {
            self.news.entry(vm.clone()).or_default().push(index);
        }
    }
}

#[cfg(test)]
mod tests;
