//! Locality and reliability of the peers of a transfer.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::VmId;

use crate::{Locality, Plan};

/// Corrupted chunks after which a peer is used only as a last resort.
const DISTRUST_THRESHOLD: u32 = 3;
/// Maximum backoff after a peer failed.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// A bit set of peers, indexed by slot.
pub(crate) type PeerSet = u64;

/// Maximum number of peers that are tracked; a plan needs fewer.
const SLOTS: usize = PeerSet::BITS as usize;

#[derive(Debug)]
struct Peer {
    vm: VmId,
    locality: Locality,
    /// Number of corrupted chunks received from it.
    corrupted_chunks: u32,
    /// Consecutive failed fetches.
    failures: u32,
    /// Not used as a source before this time.
    retry_at: Instant,
}

/// The peers of a transfer.
#[derive(Debug, Default)]
pub(crate) struct Peers {
    slots: Vec<Peer>,
    index: HashMap<VmId, usize>,
    /// Peers in the same availability zone.
    zone: PeerSet,
    /// Peers in the same region, including those in the same zone.
    region: PeerSet,
}

impl Peers {
    /// The slot of a peer, allocated if needed; `None` if all slots are taken.
    pub(crate) fn slot(&mut self, vm: &VmId, plan: &Plan, now: Instant) -> Option<usize> {
        if let Some(&slot) = self.index.get(vm) {
            return Some(slot);
        }
        let slot = self.slots.len();
        if slot == SLOTS {
            return None;
        }
        let locality = plan.locality(vm).unwrap_or(Locality::Remote);
        self.slots.push(Peer {
            vm: vm.clone(),
            locality,
            corrupted_chunks: 0,
            failures: 0,
            retry_at: now,
        });
        self.index.insert(vm.clone(), slot);
        self.index_locality(slot);
        Some(slot)
    }

    fn index_locality(&mut self, slot: usize) {
        let bit = 1 << slot;
        if self.slots[slot].locality == Locality::Zone {
            self.zone |= bit;
        }
        if self.slots[slot].locality <= Locality::Region {
            self.region |= bit;
        }
    }

    /// The slot of a peer, if one has been allocated.
    pub(crate) fn find(&self, vm: &VmId) -> Option<usize> {
        self.index.get(vm).copied()
    }

    /// Peers that are at most as far away as `locality`.
    pub(crate) fn within(&self, locality: Locality) -> PeerSet {
        match locality {
            Locality::Zone => self.zone,
            Locality::Region => self.region,
            Locality::Remote => PeerSet::MAX,
        }
    }

    /// Peers that failed and are still in backoff.
    pub(crate) fn backed_off(&self, now: Instant) -> PeerSet {
        let backed_off = self.slots.iter().enumerate();
        let backed_off = backed_off.filter(|(_, peer)| peer.failures > 0 && now < peer.retry_at);
        backed_off.fold(0, |set, (slot, _)| set | 1 << slot)
    }

    /// Selects a peer of a set: trusted peers first, then by locality, failures, `load` and `salt`.
    /// Peers whose `load` has reached `max_load` or that are in backoff are skipped.
    pub(crate) fn select(
        &self,
        set: PeerSet,
        load: impl Fn(&VmId) -> usize,
        max_load: usize,
        salt: usize,
        now: Instant,
    ) -> Option<&VmId> {
        let usable = |slot: &usize| set & (1 << slot) != 0 && self.slots[*slot].retry_at <= now;
        let keyed = |slot: usize| {
            let peer = &self.slots[slot];
            let load = load(&peer.vm);
            let tie_breaker = (slot + salt) % SLOTS;
            let key = (
                peer.corrupted_chunks >= DISTRUST_THRESHOLD,
                peer.locality,
                peer.failures,
                load,
                tie_breaker,
            );
            (load < max_load).then_some((key, &peer.vm))
        };
        let candidates = (0..self.slots.len()).filter(usable).filter_map(keyed);
        candidates.min_by_key(|(key, _)| *key).map(|(_, vm)| vm)
    }

    /// Whether the last fetch from a peer failed.
    pub(crate) fn has_failed(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(|slot| self.slots[slot].failures > 0)
    }

    /// Records that a peer responded, which ends its backoff.
    pub(crate) fn record_success(&mut self, vm: &VmId, now: Instant) {
        if let Some(slot) = self.find(vm) {
            let peer = &mut self.slots[slot];
            if peer.failures > 0 {
                peer.retry_at = now;
            }
            peer.failures = 0;
        }
    }

    /// Records that a fetch from a peer failed or stalled, and backs off exponentially.
    pub(crate) fn record_failure(&mut self, vm: &VmId, backoff: Duration, now: Instant) {
        if let Some(slot) = self.find(vm) {
            let peer = &mut self.slots[slot];
            if peer.failures > 0 && now < peer.retry_at {
                // Concurrent fetches that fail together count as one failure.
                return;
            }
            let wait = backoff * 2u32.saturating_pow(peer.failures.min(8));
            peer.failures += 1;
            peer.retry_at = now + wait.min(MAX_BACKOFF);
        }
    }

    /// Handles a peer's request not to be asked again for `wait`.
    pub(crate) fn delay_until_retry(&mut self, vm: &VmId, wait: Duration, now: Instant) {
        if let Some(slot) = self.find(vm) {
            self.slots[slot].retry_at = now + wait;
        }
    }

    /// Records that a peer sent a corrupted chunk.
    pub(crate) fn record_corruption(&mut self, vm: &VmId) {
        if let Some(slot) = self.find(vm) {
            self.slots[slot].corrupted_chunks += 1;
        }
    }

    /// Removes the peers that are not in the plan; returns the mapping of old to new slots.
    pub(crate) fn retain(&mut self, plan: &Plan) -> SlotMapping {
        let old = std::mem::take(self);
        let mut mapping = Vec::new();
        for (from, mut peer) in old.slots.into_iter().enumerate() {
            let Some(locality) = plan.locality(&peer.vm) else { continue };
            let to = self.slots.len();
            peer.locality = locality;
            self.index.insert(peer.vm.clone(), to);
            self.slots.push(peer);
            self.index_locality(to);
            mapping.push((from, to));
        }
        SlotMapping(mapping)
    }
}

/// Pairs of old and new slots of the retained peers.
pub(crate) struct SlotMapping(Vec<(usize, usize)>);

impl SlotMapping {
    /// Translates a set from old to new slots.
    pub(crate) fn apply(&self, set: PeerSet) -> PeerSet {
        let retained = self.0.iter().filter(|(from, _)| set & (1 << from) != 0);
        retained.fold(0, |new, (_, to)| new | 1 << to)
    }
}
