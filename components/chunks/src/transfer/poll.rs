//! Selection of the next actions of a transfer.

use std::time::{Duration, Instant};

use base::VmId;

use super::{State, Transfer};
use crate::{Action, Source, announcements::Announcements, peers::PeerSet, settings::Strategy};

/// Number of chunks at the head of the queue that are considered per fetch that may start.
const QUEUE_LOOKAHEAD: usize = 4;
/// Delay before a chunk is considered again after all its holders were busy.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(50);
/// A responsive owner may delay a takeover by the elapsed transfer time divided by this.
const SLOW_OWNER_DIVISOR: u32 = 4;
/// Interval between searches for chunks that nobody announced.
const SEARCH_INTERVAL: Duration = Duration::from_millis(200);

impl Transfer {
    /// Returns the actions that are due.
    pub fn poll(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = self.due_announcements(now);
        self.abandon_stalled(now);
        for index in self.queue.take_due(now) {
            self.requeue(index, now);
        }
        if self.is_complete() {
            return actions;
        }
        self.fetch_assigned(&mut actions, now);
        self.fetch_queued(&mut actions, now);
        if self.settings.strategy != Strategy::Origin {
            self.search_unannounced(&mut actions, now);
        }
        actions
    }

    fn due_announcements(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        for (to, mut chunks) in Announcements::take_due(&mut self.announcements, now) {
            let is_query = chunks.is_empty();
            if let Some(slot) = self.peers.find(&to) {
                chunks.retain(|&c| self.chunks[c as usize].holders & (1 << slot) == 0);
            }
            if is_query || !chunks.is_empty() {
                actions.push(Action::Announce { to, chunks });
            }
        }
        actions
    }

    /// Stops waiting for stalled fetches; a chunk that still arrives is accepted.
    fn abandon_stalled(&mut self, now: Instant) {
        let settings = self.settings;
        for fetch in self.fetches.overdue(settings.stall_timeout, settings.takeover_delay, now) {
            if let Source::Peer(vm) = &fetch.source {
                self.peers.record_failure(vm, settings.stall_timeout, now);
                if let Some(slot) = self.peers.find(vm) {
                    self.chunks[fetch.chunk as usize].holders &= !(1 << slot);
                }
            } else if self.chunks[fetch.chunk as usize].holders == 0 {
                continue;
            }
            self.fetches.remove(fetch.chunk);
            let chunk = &mut self.chunks[fetch.chunk as usize];
            chunk.state = State::Missing;
            chunk.failures += 1;
            self.assigned.remove(&fetch.chunk);
            self.requeue(fetch.chunk, now);
        }
    }

    /// Reads the chunks assigned to this VM from upstream.
    fn fetch_assigned(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let assigned: Vec<u32> = match self.settings.strategy {
            Strategy::Origin => (self.first_missing as u32..self.chunks.len() as u32).collect(),
            Strategy::Tree | Strategy::Rarest => self.assigned.iter().copied().collect(),
        };
        for index in assigned {
            if self.fetches.upstream_count() >= self.settings.max_upstream_fetches {
                return;
            }
            let chunk = &self.chunks[index as usize];
            let wanted = chunk.state == State::Missing && now >= chunk.not_before;
            if !wanted || !self.fits_in_memory(index) {
                continue;
            }
            if chunk.holders != 0 && !self.always_reads_upstream(index) {
                self.assigned.remove(&index);
            } else if !self.read_upstream(index, actions, now) {
                self.assigned.remove(&index);
                self.requeue(index, now);
            }
        }
    }

    /// Reads a chunk from the store or the origin; returns false if the allowance is used up.
    fn read_upstream(&mut self, index: u32, actions: &mut Vec<Action>, now: Instant) -> bool {
        let origin_only = self.settings.strategy == Strategy::Origin;
        let source = if now >= self.store_retry_at && !origin_only {
            Source::Store
        } else if origin_only || self.origin_allowance.try_take() {
            Source::Origin
        } else {
            return false;
        };
        self.start_fetch(index, source, actions, now);
        true
    }

    fn start_fetch(&mut self, index: u32, source: Source, actions: &mut Vec<Action>, now: Instant) {
        self.remove_from_queue(index);
        self.chunks[index as usize].state = State::Fetching;
        self.fetches.add(index, source.clone(), now);
        let digest = self.list.digests[index as usize];
        actions.push(Action::Fetch { chunk: index, digest, source });
    }

    /// Fetches chunks from the peers that announced them.
    fn fetch_queued(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let free = self.settings.max_peer_fetches.saturating_sub(self.fetches.peer_count());
        for index in self.queue.first_chunks(free * QUEUE_LOOKAHEAD) {
            if self.fetches.peer_count() >= self.settings.max_peer_fetches {
                return;
            }
            if !self.fits_in_memory(index) {
                continue;
            }
            match self.select_peer(index, now) {
                Some(vm) => self.start_fetch(index, Source::Peer(vm), actions, now),
                None => {
                    self.remove_from_queue(index);
                    self.queue.defer(now + BUSY_RETRY_DELAY, index);
                }
            }
        }
    }

    fn select_peer(&self, index: u32, now: Instant) -> Option<VmId> {
        let near = self.eligible_holders(index, now).ok()?;
        let load = |vm: &VmId| self.fetches.count(&Source::Peer(vm.clone()));
        let salt = self.salt(index) as usize;
        self.peers.select(near, load, self.settings.max_fetches_per_peer, salt, now).cloned()
    }

    /// Asks peers for chunks that nobody announced or whose holders fail, if no announcement
    /// arrives for a while or once most chunks are known. Without progress, the VMs read such
    /// chunks from upstream in place of their owners, one VM after the other.
    fn search_unannounced(&mut self, actions: &mut Vec<Action>, now: Instant) {
        let late =
            self.mostly_known_since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let silent = late.max(now.saturating_duration_since(self.last_announcement));
        if silent < self.settings.fallback_delay || now < self.next_search {
            return;
        }
        self.next_search = now + SEARCH_INTERVAL;
        let idle = late.max(now.saturating_duration_since(self.last_progress));
        let backed_off = self.peers.backed_off(now);
        for index in self.first_missing as u32..self.chunks.len() as u32 {
            let may_ask = self.fetches.peer_count() < self.settings.max_peer_fetches;
            let may_read = self.fetches.upstream_count() < self.settings.max_upstream_fetches;
            if !may_ask && !may_read {
                return;
            }
            let chunk = &self.chunks[index as usize];
            let wanted = chunk.state == State::Missing && chunk.holders & !backed_off == 0;
            if !wanted || now < chunk.not_before || !self.fits_in_memory(index) {
                continue;
            }
            // After a plan change this VM may own chunks that peers already hold, so it asks them
            // first.
            let searched = chunk.failures > 0 || self.neighbours.is_empty();
            let due = searched && idle >= self.takeover_delay(index, now);
            if may_read && due && self.read_upstream(index, actions, now) {
                continue;
            }
            if let Some(vm) = self.guess_peer(index, backed_off).filter(|_| may_ask) {
                // Allocates a slot, in which failures of the peer are recorded.
                let _ = self.peers.slot(&vm, &self.plan, now);
                self.start_fetch(index, Source::Peer(vm), actions, now);
            }
        }
    }

    /// How long this VM waits before it reads a chunk that nobody announced from upstream.
    fn takeover_delay(&self, index: u32, now: Instant) -> Duration {
        let owner_failed = self.plan.owner(index).is_some_and(|vm| self.peers.has_failed(vm));
        match self.plan.takeover_rank(index) {
            None | Some(0) => self.settings.fallback_delay,
            Some(rank) if owner_failed => self.settings.takeover_delay * rank as u32,
            Some(rank) => {
                // A responsive owner gets time in proportion to the duration of the transfer so
                // far.
                let proportional = now.saturating_duration_since(self.started) / SLOW_OWNER_DIVISOR;
                self.settings.slow_takeover_delay.max(proportional) * rank as u32
            }
        }
    }

    /// A peer that may have a chunk: first the parent, then alternately the owner and a neighbour.
    /// A neighbour also replaces a parent or owner that is in backoff.
    fn guess_peer(&self, index: u32, backed_off: PeerSet) -> Option<VmId> {
        let usable =
            |vm: &&VmId| self.peers.find(vm).is_none_or(|slot| backed_off & (1 << slot) == 0);
        let failures = self.chunks[index as usize].failures as usize;
        let first = match failures {
            0 => self.plan.parent(index),
            n if n % 2 == 1 => self.plan.owner(index).filter(|_| self.plan.rank(index) != Some(0)),
            _ => None,
        };
        if let Some(vm) = first.filter(usable) {
            return Some(vm.clone());
        }
        let neighbours: Vec<&VmId> = self.neighbours.iter().filter(usable).collect();
        let turn = failures + self.salt(index) as usize;
        neighbours.get(turn % neighbours.len().max(1)).map(|vm| (*vm).clone())
    }
}
