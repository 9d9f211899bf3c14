//! What a transfer knows of its peers: how far they are, and how well they did.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::VmId;

use crate::{Locality, Plan};

/// A peer that gave this many corrupted chunks is asked last.
const MAX_BLAME: u32 = 3;
/// Longest time that a peer which failed is not asked.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// A set of peers, by slot.
pub(crate) type PeerSet = u64;

/// Most peers that are known at a time; a plan needs fewer.
const SLOTS: usize = PeerSet::BITS as usize;

#[derive(Debug)]
struct Peer {
    vm: VmId,
    reach: Locality,
    /// Corrupted chunks that it gave.
    blame: u32,
    /// Fetches that failed since the last that did not.
    failures: u32,
    /// It is not asked before.
    free_at: Instant,
}

/// The peers of a transfer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    slots: Vec<Peer>,
    index: HashMap<VmId, usize>,
    /// Peers in the same availability zone.
    zone: PeerSet,
    /// Peers in the same region, including the zone.
    region: PeerSet,
}

impl Peers {
    /// The slot of a peer, which gets one if any is left.
    pub(crate) fn slot(&mut self, vm: &VmId, plan: &Plan, now: Instant) -> Option<usize> {
        if let Some(&slot) = self.index.get(vm) {
            return Some(slot);
        }
        let slot = self.slots.len();
        if slot == SLOTS {
            return None;
        }
        let reach = plan.locality(vm).unwrap_or(Locality::Remote);
        self.slots.push(Peer { vm: vm.clone(), reach, blame: 0, failures: 0, free_at: now });
        self.index.insert(vm.clone(), slot);
        self.mark(slot);
        Some(slot)
    }

    fn mark(&mut self, slot: usize) {
        let bit = 1 << slot;
        if self.slots[slot].reach == Locality::Zone {
            self.zone |= bit;
        }
        if self.slots[slot].reach <= Locality::Region {
            self.region |= bit;
        }
    }

    /// The slot of a peer that has one.
    pub(crate) fn find(&self, vm: &VmId) -> Option<usize> {
        self.index.get(vm).copied()
    }

    /// Peers that are at most as far away as `reach`.
    pub(crate) fn within(&self, reach: Locality) -> PeerSet {
        match reach {
            Locality::Zone => self.zone,
            Locality::Region => self.region,
            Locality::Remote => PeerSet::MAX,
        }
    }

    /// Peers that failed and are not asked now.
    pub(crate) fn failing(&self, now: Instant) -> PeerSet {
        let failing = self.slots.iter().enumerate();
        let failing = failing.filter(|(_, peer)| peer.failures > 0 && now < peer.free_at);
        failing.fold(0, |set, (slot, _)| set | 1 << slot)
    }

    /// The best peer of a set: nearest first, then least trouble, then least `load`, then by `salt`.
    /// Peers with `load` of `most` or that are backed off are left out.
    pub(crate) fn best(
        &self,
        set: PeerSet,
        load: impl Fn(&VmId) -> usize,
        most: usize,
        salt: usize,
        now: Instant,
    ) -> Option<&VmId> {
        let able = |slot: &usize| set & (1 << slot) != 0 && self.slots[*slot].free_at <= now;
        let ranked = |slot: usize| {
            let peer = &self.slots[slot];
            let load = load(&peer.vm);
            let turn = (slot + salt) % SLOTS;
            let key = (peer.blame >= MAX_BLAME, peer.reach, peer.failures, load, turn);
            (load < most).then_some((key, &peer.vm))
        };
        let best = (0..self.slots.len()).filter(able).filter_map(ranked);
        best.min_by_key(|(key, _)| *key).map(|(_, vm)| vm)
    }

    /// Whether the last call to a peer failed.
    pub(crate) fn is_lost(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(|slot| self.slots[slot].failures > 0)
    }

    /// A peer answered.
    pub(crate) fn succeeded(&mut self, vm: &VmId, now: Instant) {
        if let Some(slot) = self.find(vm) {
            let peer = &mut self.slots[slot];
            if peer.failures > 0 {
                peer.free_at = now;
            }
            peer.failures = 0;
        }
    }

    /// A fetch from a peer failed or stalled.
    pub(crate) fn failed(&mut self, vm: &VmId, backoff: Duration, now: Instant) {
        if let Some(slot) = self.find(vm) {
            let peer = &mut self.slots[slot];
            if peer.failures > 0 && now < peer.free_at {
                // Fetches that fail together count once.
                return;
            }
            let wait = backoff * 2u32.saturating_pow(peer.failures.min(8));
            peer.failures += 1;
            peer.free_at = now + wait.min(MAX_BACKOFF);
        }
    }

    /// A peer asks to wait.
    pub(crate) fn limited(&mut self, vm: &VmId, wait: Duration, now: Instant) {
        if let Some(slot) = self.find(vm) {
            self.slots[slot].free_at = now + wait;
        }
    }

    /// A peer gave a corrupted chunk.
    pub(crate) fn corrupted(&mut self, vm: &VmId) {
        if let Some(slot) = self.find(vm) {
            self.slots[slot].blame += 1;
        }
    }

    /// Forgets the peers that are not in the plan; returns how the slots moved.
    pub(crate) fn retain(&mut self, plan: &Plan) -> Moves {
        let old = std::mem::take(self);
        let mut moves = Vec::new();
        for (from, mut peer) in old.slots.into_iter().enumerate() {
            let Some(reach) = plan.locality(&peer.vm) else { continue };
            let to = self.slots.len();
            peer.reach = reach;
            self.index.insert(peer.vm.clone(), to);
            self.slots.push(peer);
            self.mark(to);
            moves.push((from, to));
        }
        Moves(moves)
    }
}

/// Old and new slots of the peers that stay.
pub(crate) struct Moves(Vec<(usize, usize)>);

impl Moves {
    /// The set with the new slots in place of the old.
    pub(crate) fn apply(&self, set: PeerSet) -> PeerSet {
        let stays = self.0.iter().filter(|(from, _)| set & (1 << from) != 0);
        stays.fold(0, |new, (_, to)| new | 1 << to)
    }
}
