//! Decides which chunk of a list to fetch next, and from which source.

mod poll;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base::VmId;
use manifest::ChunkList;

use crate::{
    FetchError, Locality, Plan, Source, TransferSettings,
    announcements::Announcements,
    budget::OriginAllowance,
    fetches::Fetches,
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
    /// When it was first announced or, once held, received.
    known_since: Option<Instant>,
    /// No fetch starts before this time.
    not_before: Instant,
    /// Number of failed fetches.
    failures: u32,
    /// Its key while it is in the queue.
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
    fetches: Fetches,
    peers: Peers,
    announcements: Announcements,
    origin_allowance: OriginAllowance,
    /// Chunks that this VM reads from upstream without waiting, until it holds them or leaves them
    /// to other sources.
    assigned: BTreeSet<u32>,
    /// Number of chunks in state `Held`.
    held: usize,
    /// Index of the first chunk that is not held.
    first_missing: usize,
    /// When a chunk was last received or announced.
    last_progress: Instant,
    /// When a chunk was last announced.
    last_announcement: Instant,
    started: Instant,
    /// Number of chunks that are held or were announced.
    known: usize,
    /// When `MOSTLY_KNOWN` of the chunks were known; `None` before.
    mostly_known_since: Option<Instant>,
    /// When to search again for chunks that nobody announced.
    next_search: Instant,
    /// The store is not asked before this time, because it lacked a chunk, limits reads or failed.
    store_retry_at: Instant,
}

/// Delay before the store is asked again after it lacked a chunk or returned a corrupted one.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(10);
/// Failed fetches of a chunk after which this VM leaves the upstream read to other VMs.
const MAX_UPSTREAM_FAILURES: u32 = 3;
/// Fraction of the chunks that must be known for the remaining ones to count as late.
const MOSTLY_KNOWN: (usize, usize) = (7, 8);
/// Number of segments that the chunk memory holds when a model exceeds it.
const SEGMENTS_IN_MEMORY: u64 = 4;

impl Transfer {
    /// Starts the transfer of `list` according to `plan`.
    pub fn new(list: ChunkList, plan: Plan, settings: TransferSettings, now: Instant) -> Transfer {
        let chunk = || Chunk {
            state: State::Missing,
            holders: 0,
            known_since: None,
            not_before: now,
            failures: 0,
            queued: None,
        };
        let copies = settings.origin.copies as usize;
        let all = 0..list.digests.len() as u32;
        let assigned = all.clone().filter(|&c| plan.rank(c).is_some_and(|rank| rank < copies));
        let mut transfer = Transfer {
            assigned: assigned.collect(),
            chunks: all.map(|_| chunk()).collect(),
            neighbours: Vec::new(),
            queue: Queue::default(),
            fetches: Fetches::default(),
            peers: Peers::default(),
            announcements: Announcements::default(),
            origin_allowance: OriginAllowance::default(),
            held: 0,
            first_missing: 0,
            last_progress: now,
            last_announcement: now,
            started: now,
            known: 0,
            mostly_known_since: None,
            next_search: now,
            store_retry_at: now,
            list,
            plan,
            settings,
        };
        transfer.apply_plan(now);
        transfer
    }

    /// Whether all chunks are held.
    pub fn is_complete(&self) -> bool {
        self.held == self.chunks.len()
    }

    /// Number of held chunks, and of all chunks.
    pub fn progress(&self) -> (usize, usize) {
        (self.held, self.chunks.len())
    }

    /// Replaces the plan after the set of VMs changed.
    pub fn set_plan(&mut self, plan: Plan, now: Instant) {
        if self.plan == plan || plan.position().is_none() {
            return;
        }
        self.plan = plan;
        let mapping = self.peers.retain(&self.plan);
        for chunk in &mut self.chunks {
            chunk.holders = mapping.apply(chunk.holders);
        }
        for index in 0..self.chunks.len() as u32 {
            self.requeue(index, now);
        }
        self.apply_plan(now);
    }

    /// Takes the neighbours and the read allowance from the plan, and announces the held chunks to
    /// new neighbours; an empty announcement asks them what they have.
    fn apply_plan(&mut self, now: Instant) {
        self.origin_allowance.set_limit(&self.plan, self.chunks.len(), self.settings.origin);
        let neighbours = self.plan.neighbours();
        if self.settings.strategy != Strategy::Origin {
            let held = self.all_held();
            for vm in neighbours.iter().filter(|vm| !self.neighbours.contains(vm)) {
                self.announcements.replace(vm, held.clone(), now);
            }
        }
        self.neighbours = neighbours;
    }

    fn all_held(&self) -> Vec<u32> {
        let held = |i: &u32| self.chunks[*i as usize].state == State::Held;
        (0..self.chunks.len() as u32).filter(held).collect()
    }

    /// Handles an announcement by a peer; an empty one asks what this VM has.
    pub fn handle_announcement(&mut self, from: &VmId, chunks: &[u32], now: Instant) {
        if self.plan.locality(from).is_none() {
            return;
        }
        if chunks.is_empty() && self.held > 0 {
            self.announcements.replace(from, self.all_held(), now);
        }
        let Some(slot) = self.peers.slot(from, &self.plan, now) else { return };
        for &index in chunks {
            let Some(chunk) = self.chunks.get_mut(index as usize) else { continue };
            if chunk.holders & (1 << slot) != 0 {
                continue;
            }
            chunk.holders |= 1 << slot;
            if chunk.state != State::Held {
                let first = chunk.known_since.replace(chunk.known_since.unwrap_or(now)).is_none();
                self.last_progress = now;
                self.last_announcement = now;
                self.count_known(first, now);
                self.requeue(index, now);
            }
        }
    }

    /// Handles a fetched chunk, which may arrive after its fetch was abandoned.
    pub fn handle_fetched(&mut self, index: u32, source: &Source, now: Instant) {
        if let Source::Peer(vm) = source {
            self.peers.record_success(vm, now);
        }
        self.mark_held(index, now);
    }

    /// Marks a chunk as held, because it was fetched or was already in memory.
    pub fn mark_held(&mut self, index: u32, now: Instant) {
        if self.chunks[index as usize].state == State::Held {
            return;
        }
        if let Some(fetch) = self.fetches.remove(index) {
            self.fetches.record_duration(&fetch, now);
        }
        let chunk = &mut self.chunks[index as usize];
        chunk.state = State::Held;
        let first = chunk.known_since.replace(now).is_none();
        self.count_known(first, now);
        self.remove_from_queue(index);
        self.assigned.remove(&index);
        self.held += 1;
        self.last_progress = now;
        while self.chunks.get(self.first_missing).is_some_and(|c| c.state == State::Held) {
            self.first_missing += 1;
        }
        self.announce(index, now);
    }

    fn count_known(&mut self, first: bool, now: Instant) {
        self.known += usize::from(first);
        if self.known * MOSTLY_KNOWN.1 >= self.chunks.len() * MOSTLY_KNOWN.0 {
            self.mostly_known_since.get_or_insert(now);
        }
    }

    /// Handles a failed fetch.
    pub fn handle_failure(&mut self, index: u32, source: &Source, error: FetchError, now: Instant) {
        match source {
            Source::Peer(vm) => self.peer_failed(index, vm, error, now),
            Source::Store => self.store_failed(error, now),
            Source::Origin if error != FetchError::Corrupted => self.origin_allowance.refund(),
            Source::Origin => {}
        }
        if !self.fetches.contains(index, source) {
            self.requeue(index, now);
            return;
        }
        self.fetches.remove(index);
        let retry_at_once = error == FetchError::Corrupted
            || (*source == Source::Store && error != FetchError::Failed);
        let chunk = &mut self.chunks[index as usize];
        chunk.state = State::Missing;
        chunk.failures += 1;
        if !retry_at_once && !matches!(source, Source::Peer(_)) {
            let wait = match error {
                FetchError::Limited(wait) => wait,
                _ => self.settings.backoff,
            };
            chunk.not_before = now + wait;
        }
        if chunk.holders != 0 || chunk.failures >= MAX_UPSTREAM_FAILURES {
            self.assigned.remove(&index);
        }
        self.requeue(index, now);
    }

    fn peer_failed(&mut self, index: u32, vm: &VmId, error: FetchError, now: Instant) {
        let no_longer_holds = match error {
            FetchError::Missing => {
                self.peers.record_success(vm, now);
                true
            }
            FetchError::Limited(wait) => {
                self.peers.record_success(vm, now);
                self.peers.delay_until_retry(vm, wait, now);
                false
            }
            FetchError::Corrupted => {
                self.peers.record_corruption(vm);
                true
            }
            FetchError::Failed => {
                self.peers.record_failure(vm, self.settings.backoff, now);
                true
            }
        };
        if let Some(slot) = self.peers.find(vm).filter(|_| no_longer_holds) {
            self.chunks[index as usize].holders &= !(1 << slot);
        }
    }

    fn store_failed(&mut self, error: FetchError, now: Instant) {
        let wait = match error {
            FetchError::Missing | FetchError::Corrupted => STORE_RETRY_DELAY,
            FetchError::Limited(wait) => wait,
            FetchError::Failed => self.settings.backoff,
        };
        self.store_retry_at = self.store_retry_at.max(now + wait);
    }

    /// Updates a chunk's position in the queue; defers it while no holder is eligible.
    fn requeue(&mut self, index: u32, now: Instant) {
        self.remove_from_queue(index);
        let chunk = &self.chunks[index as usize];
        if chunk.state != State::Missing || chunk.holders == 0 || self.always_reads_upstream(index)
        {
            return;
        }
        let until = match self.eligible_holders(index, now) {
            Ok(_) => chunk.not_before,
            Err(until) => until.max(chunk.not_before),
        };
        if now < until {
            self.queue.defer(until, index);
            return;
        }
        let key = Key {
            segment: self.segment(index),
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

    fn remove_from_queue(&mut self, index: u32) {
        if let Some(key) = self.chunks[index as usize].queued.take() {
            self.queue.remove(key);
        }
    }

    /// Whether this VM reads a chunk from upstream even if peers have it, to save time.
    fn always_reads_upstream(&self, index: u32) -> bool {
        self.settings.origin.copies > 1 && self.assigned.contains(&index)
    }

    /// The holders of a chunk that it may be fetched from now, or when to check again.
    fn eligible_holders(&self, index: u32, now: Instant) -> Result<PeerSet, Instant> {
        let chunk = &self.chunks[index as usize];
        let known_since = chunk.known_since.unwrap_or(now);
        let delay = self.settings.fallback_delay;
        let scope = self.plan.fetch_scope(index);
        let usable = chunk.holders & !self.peers.backed_off(now);
        for (locality, from) in [
            (Locality::Zone, known_since),
            (Locality::Region, known_since + delay),
            (Locality::Remote, known_since + 2 * delay),
        ] {
            let near = usable & self.peers.within(locality);
            if near != 0 && (now >= from || scope >= locality) {
                return Ok(near);
            }
            if near != 0 {
                return Err(from);
            }
        }
        Err(now + self.settings.backoff)
    }

    /// The segment of the list that a chunk belongs to; 0 if the model fits in memory.
    fn segment(&self, index: u32) -> u32 {
        let chunk_size = self.list.chunk_size.0.max(1);
        if self.list.digests.len() as u64 * chunk_size <= self.settings.memory.0 {
            return 0;
        }
        let segment_chunks = (self.settings.memory.0 / chunk_size / SEGMENTS_IN_MEMORY).max(1);
        (u64::from(index) / segment_chunks) as u32
    }

    /// Whether a chunk is at most one segment ahead of the first missing one, so that memory
    /// suffices.
    fn fits_in_memory(&self, index: u32) -> bool {
        self.segment(index) <= self.segment(self.first_missing as u32) + 1
    }

    /// Tie-breaker for a chunk that differs between VMs.
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
        let lacks_chunk = |vm: &VmId| peers.find(vm).is_none_or(|slot| holders & (1 << slot) == 0);
        for vm in self.plan.children(index) {
            if lacks_chunk(vm) {
                self.announcements.add(vm, index, self.settings.child_announce_delay, now);
            }
        }
        if self.settings.strategy == Strategy::Rarest {
            for vm in &self.neighbours {
                if lacks_chunk(vm) {
                    self.announcements.add(vm, index, self.settings.neighbour_announce_delay, now);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
