//! What a transfer does next.

use std::time::{Duration, Instant};

use base::VmId;

use super::{State, Transfer};
use crate::{Action, Source, news::News, peers::PeerSet, settings::Strategy};

/// Chunks at the head of the queue that are looked at, for each fetch that may start.
const LOOK_AHEAD: usize = 4;
/// Time until a chunk is looked at again whose holders are all busy.
const BUSY: Duration = Duration::from_millis(50);
/// Part of the time so far that an owner which answers may take for its last chunks.
const PACE_PART: u32 = 4;
/// Time between searches for chunks that nobody announced.
const SEARCH_EVERY: Duration = Duration::from_millis(200);

impl Transfer {
    /// Decides what to do now.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.due_news(now);
        self.drop_overdue(now);
        for index in self.queue.due(now) {
            self.requeue(index, now);
        }
        if self.is_complete() {
            return actions;
        }
        self.fetch_own(&mut actions, now);
        self.fetch_queued(&mut actions, now);
        if self.settings.strategy != Strategy::Origin {
            self.search(&mut actions, now);
        }
        actions
    }

    fn due_news(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (to, mut chunks) in News::take(&mut self.news, now) {
            let question = chunks.is_empty();
            if let Some(slot) = self.peers.find(&to) {
                chunks.retain(|&c| self.chunks[c as usize].holders & (1 << slot) == 0);
            }
            if question || !chunks.is_empty() {
                actions.push(Action::Announce { to, chunks });
            }
        }
        actions
    }

    /// Gives up waiting for fetches that stall; their bytes are still welcome.
    fn drop_overdue(&mut self, now: Instant) {
        let settings = self.settings;
        for flight in self.flights.overdue(settings.stall_timeout, settings.takeover_delay, now) {
            if let Source::Peer(vm) = &flight.source {
                self.peers.failed(vm, settings.stall_timeout, now);
                if let Some(slot) = self.peers.find(vm) {
                    self.chunks[flight.chunk as usize].holders &= !(1 << slot);
                }
            } else if self.chunks[flight.chunk as usize].holders == 0 {
                continue;
            }
            self.flights.remove(flight.chunk);
            let chunk = &mut self.chunks[flight.chunk as usize];
            chunk.state = State::Missing;
            chunk.failures += 1;
            self.duties.remove(&flight.chunk);
            self.requeue(flight.chunk, now);
        }
    }

    /// Reads the chunks that this VM owns from outside.
    fn fetch_own(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let own: Vec<u32> = match self.settings.strategy {
            Strategy::Origin => (self.lowest as u32..self.chunks.len() as u32).collect(),
            Strategy::Tree | Strategy::Rarest => self.duties.iter().copied().collect(),
        };
        for index in own {
            if self.flights.outside_count() >= self.settings.max_upstream_fetches {
                return;
            }
            let chunk = &self.chunks[index as usize];
            let wanted = chunk.state == State::Missing && now >= chunk.not_before;
            if !wanted || !self.in_reach(index) {
                continue;
            }
            if chunk.holders != 0 && !self.is_read_anyway(index) {
                self.duties.remove(&index);
            } else if !self.read_outside(index, actions, now) {
                self.duties.remove(&index);
                self.requeue(index, now);
            }
        }
    }

    /// Reads a chunk from the store or the origin; returns false if the budget is used up.
    fn read_outside(&mut self, index: u32, actions: &mut Vec<Action>, now: Instant) -> bool {
        let naive = self.settings.strategy == Strategy::Origin;
        let source = if now >= self.store_after && !naive {
            Source::Store
        } else if naive || self.budget.take() {
            Source::Origin
        } else {
            return false;
        };
        self.fetch(index, source, actions, now);
        true
    }

    fn fetch(&mut self, index: u32, source: Source, actions: &mut Vec<Action>, now: Instant) {
        self.unqueue(index);
        self.chunks[index as usize].state = State::Fetching;
        self.flights.add(index, source.clone(), now);
        let digest = self.list.digests[index as usize];
        actions.push(Action::Fetch { chunk: index, digest, source });
    }

    /// Fetches chunks from the peers that announced them.
    fn fetch_queued(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let free = self.settings.max_peer_fetches.saturating_sub(self.flights.peer_count());
        for index in self.queue.first(free * LOOK_AHEAD) {
            if self.flights.peer_count() >= self.settings.max_peer_fetches {
                return;
            }
            if !self.in_reach(index) {
                continue;
            }
            match self.peer(index, now) {
                Some(vm) => self.fetch(index, Source::Peer(vm), actions, now),
                None => {
                    self.unqueue(index);
                    self.queue.wait(now + BUSY, index);
                }
            }
        }
    }

    fn peer(&self, index: u32, now: Instant) -> Option<VmId> {
        let near = self.near_enough(index, now).ok()?;
        let load = |vm: &VmId| self.flights.count(&Source::Peer(vm.clone()));
        let salt = self.salt(index) as usize;
        self.peers.best(near, load, self.settings.max_fetches_per_peer, salt, now).cloned()
    }

    /// Without news, or once most chunks are known, asks peers for chunks that nobody announced or
    /// whose holders fail. Without progress, reads them from outside in place of their owners, one VM after the other.
    fn search(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let late = self.most_seen.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let silent = late.max(now.saturating_duration_since(self.heard));
        if silent < self.settings.fallback_delay || now < self.search_at {
            return;
        }
        self.search_at = now + SEARCH_EVERY;
        let idle = late.max(now.saturating_duration_since(self.progress));
        let failing = self.peers.failing(now);
        for index in self.lowest as u32..self.chunks.len() as u32 {
            let asks = self.flights.peer_count() < self.settings.max_peer_fetches;
            let reads = self.flights.outside_count() < self.settings.max_upstream_fetches;
            if !asks && !reads {
                return;
            }
            let chunk = &self.chunks[index as usize];
            let wanted = chunk.state == State::Missing && chunk.holders & !failing == 0;
            if !wanted || now < chunk.not_before || !self.in_reach(index) {
                continue;
            }
            // A plan that changed makes owners of chunks that their peers may have.
            let searched = chunk.failures > 0 || self.neighbours.is_empty();
            let due = searched && idle >= self.takeover(index, now);
            if reads && due && self.read_outside(index, actions, now) {
                continue;
            }
            if let Some(vm) = self.guess(index, failing).filter(|_| asks) {
                // A slot lets the transfer remember how the peer does.
                let _ = self.peers.slot(&vm, &self.plan, now);
                self.fetch(index, Source::Peer(vm), actions, now);
            }
        }
    }

    /// How long this VM waits before it reads a chunk that nobody announced from outside.
    fn takeover(&self, index: u32, now: Instant) -> Duration {
        let lost = self.plan.owner(index).is_some_and(|vm| self.peers.is_lost(vm));
        match self.plan.takeover_rank(index) {
            None | Some(0) => self.settings.fallback_delay,
            Some(turn) if lost => self.settings.takeover_delay * turn as u32,
            Some(turn) => {
                // An owner that answers gets time in proportion to the pace so far.
                let pace = now.saturating_duration_since(self.started) / PACE_PART;
                self.settings.slow_takeover_delay.max(pace) * turn as u32
            }
        }
    }

    /// A peer that may have a chunk: its parent, its owner, then one neighbour after the other.
    fn guess(&self, index: u32, failing: PeerSet) -> Option<VmId> {
        let able = |vm: &&VmId| self.peers.find(vm).is_none_or(|slot| failing & (1 << slot) == 0);
        let failures = self.chunks[index as usize].failures as usize;
        let first = match failures {
            0 => self.plan.parent(index),
            n if n % 2 == 1 => self.plan.owner(index).filter(|_| self.plan.rank(index) != Some(0)),
            _ => None,
        };
        if let Some(vm) = first.filter(able) {
            return Some(vm.clone());
        }
        let neighbours: Vec<&VmId> = self.neighbours.iter().filter(able).collect();
        let turn = failures + self.salt(index) as usize;
        neighbours.get(turn % neighbours.len().max(1)).map(|vm| (*vm).clone())
    }
}
