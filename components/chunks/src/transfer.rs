//! Decides which chunk of a list is fetched next, and from where.

mod poll;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base::VmId;
use manifest::ChunkList;

use crate::{
    FetchError, Locality, Plan, Source, TransferSettings,
    budget::Budget,
    flights::Flights,
    news::News,
    peers::{PeerSet, Peers},
    queue::{Key, Queue},
    settings::Strategy,
};

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Missing,
    Fetching,
    Held,
}

#[derive(Debug)]
struct Chunk {
    state: State,
    /// Peers that announced it.
    holders: PeerSet,
    /// When the first of them did.
    seen: Option<Instant>,
    /// No fetch starts before.
    not_before: Instant,
    /// Failed fetches so far.
    failures: u32,
    /// Its place in the queue while it is there.
    queued: Option<Key>,
}

/// The transfer of one chunk list to this VM.
#[derive(Debug)]
pub struct Transfer {
    list: ChunkList,
    plan: Plan,
    neighbours: Vec<VmId>,
    settings: TransferSettings,
    chunks: Vec<Chunk>,
    queue: Queue,
    flights: Flights,
    peers: Peers,
    news: News,
    budget: Budget,
    /// Chunks that this VM reads from outside without waiting, until it holds them.
    duties: BTreeSet<u32>,
    /// Number of chunks in state `Held`.
    held: usize,
    /// No chunk before it is missing.
    lowest: usize,
    /// When a chunk came or was announced last.
    progress: Instant,
    /// When a chunk was announced last.
    heard: Instant,
    started: Instant,
    /// Chunks that are held or were announced.
    seen: usize,
    /// When most chunks were seen, if they are.
    most_seen: Option<Instant>,
    /// Chunks that nobody announced are looked at again then.
    search_at: Instant,
    /// The store is not asked before, as it lacked a chunk or limits reads.
    store_after: Instant,
}

/// The store is asked again after it lacked a chunk.
const STORE_RECHECK: Duration = Duration::from_secs(10);
/// Reads from outside of one chunk that may fail before other VMs have to read it.
const MAX_FAILURES: u32 = 3;
/// Part of the chunks after which the others count as late.
const MOST: (usize, usize) = (7, 8);
/// Parts of the memory for chunks by which a large model advances.
const MEMORY_PARTS: u64 = 4;

impl Transfer {
    /// Starts the transfer of `list` by `plan`.
    pub fn new(list: ChunkList, plan: Plan, settings: TransferSettings, now: Instant) -> Transfer {
        let chunk = || Chunk {
            state: State::Missing,
            holders: 0,
            seen: None,
            not_before: now,
            failures: 0,
            queued: None,
        };
        let copies = settings.origin.copies as usize;
        let all = 0..list.digests.len() as u32;
        let duties = all.clone().filter(|&c| plan.rank(c).is_some_and(|rank| rank < copies));
        let mut transfer = Transfer {
            duties: duties.collect(),
            chunks: all.map(|_| chunk()).collect(),
            neighbours: Vec::new(),
            queue: Queue::default(),
            flights: Flights::default(),
            peers: Peers::default(),
            news: News::default(),
            budget: Budget::default(),
            held: 0,
            lowest: 0,
            progress: now,
            heard: now,
            started: now,
            seen: 0,
            most_seen: None,
            search_at: now,
            store_after: now,
            list,
            plan,
            settings,
        };
        transfer.greet(now);
        transfer
    }

    /// Whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.held == self.chunks.len()
    }

    /// Chunks that are held, and all.
    pub fn progress(&self) -> (usize, usize) {
        (self.held, self.chunks.len())
    }

    /// Replaces the plan after the set of VMs changed.
    pub fn set_plan(&mut self, plan: Plan, now: Instant) {
        if self.plan == plan || plan.position().is_none() {
            return;
        }
        self.plan = plan;
        let moves = self.peers.retain(&self.plan);
        for chunk in &mut self.chunks {
            chunk.holders = moves.apply(chunk.holders);
        }
        for index in 0..self.chunks.len() as u32 {
            self.requeue(index, now);
        }
        self.greet(now);
    }

    /// Takes the neighbours and the budget from the plan, and exchanges with new neighbours what
    /// either has.
    fn greet(&mut self, now: Instant) {
        self.budget.set(&self.plan, self.chunks.len(), self.settings.origin);
        let neighbours = self.plan.neighbours();
        if self.settings.strategy != Strategy::Origin {
            let held = self.all_held();
            for vm in neighbours.iter().filter(|vm| !self.neighbours.contains(vm)) {
                self.news.set(vm, held.clone(), now);
            }
        }
        self.neighbours = neighbours;
    }

    fn all_held(&self) -> Vec<u32> {
        let held = |i: &u32| self.chunks[*i as usize].state == State::Held;
        (0..self.chunks.len() as u32).filter(held).collect()
    }

    /// A peer announced chunks; none if it asks what this VM has.
    pub fn handle_announcement(&mut self, from: &VmId, chunks: &[u32], now: Instant) {
        if self.plan.locality(from).is_none() {
            return;
        }
        if chunks.is_empty() && self.held > 0 {
            self.news.set(from, self.all_held(), now);
        }
        let Some(slot) = self.peers.slot(from, &self.plan, now) else { return };
        for &index in chunks {
            let Some(chunk) = self.chunks.get_mut(index as usize) else { continue };
            if chunk.holders & (1 << slot) != 0 {
                continue;
            }
            chunk.holders |= 1 << slot;
            if chunk.state != State::Held {
                let first = chunk.seen.replace(chunk.seen.unwrap_or(now)).is_none();
                self.progress = now;
                self.heard = now;
                self.count_seen(first, now);
                self.requeue(index, now);
            }
        }
    }

    /// A chunk was fetched, perhaps later than it was waited for.
    pub fn handle_fetched(&mut self, index: u32, source: &Source, now: Instant) {
        if let Source::Peer(vm) = source {
            self.peers.succeeded(vm, now);
        }
        self.mark_held(index, now);
    }

    /// A chunk is held now: it was fetched, or was in memory already.
    pub fn mark_held(&mut self, index: u32, now: Instant) {
        if self.chunks[index as usize].state == State::Held {
            return;
        }
        if let Some(flight) = self.flights.remove(index) {
            self.flights.learn(&flight, now);
        }
        let chunk = &mut self.chunks[index as usize];
        chunk.state = State::Held;
        let first = chunk.seen.replace(now).is_none();
        self.count_seen(first, now);
        self.unqueue(index);
        self.duties.remove(&index);
        self.held += 1;
        self.progress = now;
        while self.chunks.get(self.lowest).is_some_and(|c| c.state == State::Held) {
            self.lowest += 1;
        }
        self.announce(index, now);
    }

    fn count_seen(&mut self, first: bool, now: Instant) {
        self.seen += usize::from(first);
        if self.seen * MOST.1 >= self.chunks.len() * MOST.0 {
            self.most_seen.get_or_insert(now);
        }
    }

    /// A fetch failed.
    pub fn handle_failure(&mut self, index: u32, source: &Source, error: FetchError, now: Instant) {
        match source {
            Source::Peer(vm) => self.peer_failed(index, vm, error, now),
            Source::Store => self.store_failed(error, now),
            Source::Origin if error != FetchError::Corrupted => self.budget.give_back(),
            Source::Origin => {}
        }
        if !self.flights.contains(index, source) {
            self.requeue(index, now);
            return;
        }
        self.flights.remove(index);
        let at_once = error == FetchError::Corrupted
            || (*source == Source::Store && error != FetchError::Failed);
        let chunk = &mut self.chunks[index as usize];
        chunk.state = State::Missing;
        chunk.failures += 1;
        if !at_once && !matches!(source, Source::Peer(_)) {
            let wait = match error {
                FetchError::Limited(wait) => wait,
                _ => self.settings.backoff,
            };
            chunk.not_before = now + wait;
        }
        if chunk.holders != 0 || chunk.failures >= MAX_FAILURES {
            self.duties.remove(&index);
        }
        self.requeue(index, now);
    }

    fn peer_failed(&mut self, index: u32, vm: &VmId, error: FetchError, now: Instant) {
        let lost = match error {
            FetchError::Missing => {
                self.peers.succeeded(vm, now);
                true
            }
            FetchError::Limited(wait) => {
                self.peers.succeeded(vm, now);
                self.peers.limited(vm, wait, now);
                false
            }
            FetchError::Corrupted => {
                self.peers.corrupted(vm);
                true
            }
            FetchError::Failed => {
                self.peers.failed(vm, self.settings.backoff, now);
                true
            }
        };
        if let Some(slot) = self.peers.find(vm).filter(|_| lost) {
            self.chunks[index as usize].holders &= !(1 << slot);
        }
    }

    fn store_failed(&mut self, error: FetchError, now: Instant) {
        let wait = match error {
            FetchError::Missing | FetchError::Corrupted => STORE_RECHECK,
            FetchError::Limited(wait) => wait,
            FetchError::Failed => self.settings.backoff,
        };
        self.store_after = self.store_after.max(now + wait);
    }

    /// Puts a chunk at its place in the queue, if a peer has it that may be asked.
    fn requeue(&mut self, index: u32, now: Instant) {
        self.unqueue(index);
        let chunk = &self.chunks[index as usize];
        if chunk.state != State::Missing || chunk.holders == 0 || self.is_read_anyway(index) {
            return;
        }
        let until = match self.near_enough(index, now) {
            Ok(_) => chunk.not_before,
            Err(until) => until.max(chunk.not_before),
        };
        if now < until {
            self.queue.wait(until, index);
            return;
        }
        let key = Key {
            part: self.part(index),
            copies: match self.settings.strategy {
                Strategy::Rarest => chunk.holders.count_ones(),
                Strategy::Tree | Strategy::Origin => 0,
            },
            salt: self.salt(index),
            chunk: index,
        };
        self.chunks[index as usize].queued = Some(key);
        self.queue.insert(key);
    }

    fn unqueue(&mut self, index: u32) {
        if let Some(key) = self.chunks[index as usize].queued.take() {
            self.queue.remove(key);
        }
    }

    /// Whether this VM reads a chunk from outside even if peers have it, to save time.
    fn is_read_anyway(&self, index: u32) -> bool {
        self.settings.origin.copies > 1 && self.duties.contains(&index)
    }

    /// The holders of a chunk that are near enough by now, or when more of them will be.
    fn near_enough(&self, index: u32, now: Instant) -> Result<PeerSet, Instant> {
        let chunk = &self.chunks[index as usize];
        let seen = chunk.seen.unwrap_or(now);
        let patience = self.settings.fallback_delay;
        let duty = self.plan.fetch_scope(index);
        let able = chunk.holders & !self.peers.failing(now);
        for (reach, from) in [
            (Locality::Zone, seen),
            (Locality::Region, seen + patience),
            (Locality::Remote, seen + 2 * patience),
        ] {
            let near = able & self.peers.within(reach);
            if near != 0 && (now >= from || duty >= reach) {
                return Ok(near);
            }
            if near != 0 {
                return Err(from);
            }
        }
        Err(now + self.settings.backoff)
    }

    /// The part of the list that a chunk belongs to, where memory is short.
    fn part(&self, index: u32) -> u32 {
        let chunk_size = self.list.chunk_size.0.max(1);
        if self.list.digests.len() as u64 * chunk_size <= self.settings.memory.0 {
            return 0;
        }
        let each = (self.settings.memory.0 / chunk_size / MEMORY_PARTS).max(1);
        (u64::from(index) / each) as u32
    }

    /// Whether a chunk is not too far ahead of the others for the memory.
    fn in_reach(&self, index: u32) -> bool {
        self.part(index) <= self.part(self.lowest as u32) + 1
    }

    fn salt(&self, index: u32) -> u32 {
        let me = self.plan.position().unwrap_or(0) as u32;
        (index.wrapping_add(me.wrapping_mul(0x9e37_79b9))).wrapping_mul(0x85eb_ca6b).rotate_left(13)
    }

    fn announce(&mut self, index: u32, now: Instant) {
        if self.settings.strategy == Strategy::Origin {
            return;
        }
        let holders = self.chunks[index as usize].holders;
        let peers = &self.peers;
        let lacks = |vm: &VmId| peers.find(vm).is_none_or(|slot| holders & (1 << slot) == 0);
        for vm in self.plan.children(index) {
            if lacks(vm) {
                self.news.add(vm, index, self.settings.child_announce_delay, now);
            }
        }
        if self.settings.strategy == Strategy::Rarest {
            for vm in &self.neighbours {
                if lacks(vm) {
                    self.news.add(vm, index, self.settings.neighbour_announce_delay, now);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
