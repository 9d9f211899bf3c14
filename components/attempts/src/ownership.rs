//! Whether this VM owns an idempotency key, and has owned it long enough to know all of its uses.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{Revision, VmId, rendezvous_first};

/// Timing and limits of key ownership.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyOwnershipSettings {
    /// Time after a start, or after a key's owner changed, during which a key that is unknown here
    /// may have run elsewhere. Must be at least the retention of keys plus twice `max_list_age`.
    pub handover: Duration,
    /// Maximum time since the VM list was last confirmed to be current.
    pub max_list_age: Duration,
    /// Maximum number of former sets of VMs that are kept.
    pub max_former_sets: usize,
}

impl Default for KeyOwnershipSettings {
    fn default() -> KeyOwnershipSettings {
        KeyOwnershipSettings {
            handover: Duration::from_secs(240),
            max_list_age: Duration::from_secs(30),
            max_former_sets: 64,
        }
    }
}

/// The current and recent sets of VMs that share the keys of this VM's service.
#[derive(Debug)]
pub struct KeyOwnership {
    settings: KeyOwnershipSettings,
    me: VmId,
    /// The current VMs, sorted.
    current: Vec<VmId>,
    /// Former sets with the time they were replaced, oldest first.
    former: VecDeque<(Vec<VmId>, Instant)>,
    /// Since when this VM knows all uses of the keys that it owns.
    complete_since: Instant,
    /// The revision of the VM list that was last confirmed to be current, and when.
    confirmed: Option<(Revision, Instant)>,
}

impl KeyOwnership {
    /// Creates the state of a process that started at `now`.
    pub fn new(me: VmId, settings: KeyOwnershipSettings, now: Instant) -> KeyOwnership {
        let (current, former) = (Vec::new(), VecDeque::new());
        KeyOwnership { settings, me, current, former, complete_since: now, confirmed: None }
    }

    /// Sets the VMs that the VM list names for the service.
    pub fn set_members(&mut self, mut vms: Vec<VmId>, now: Instant) {
        vms.sort();
        if vms == self.current {
            return;
        }
        let former = std::mem::replace(&mut self.current, vms);
        self.former.push_back((former, now));
        if self.former.len() > self.settings.max_former_sets {
            self.former.clear();
            self.complete_since = now;
        }
    }

    /// Records that `revision` was the current revision of the VM list at `at`.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if let Some((last, when)) = self.confirmed {
            let is_gap = at.saturating_duration_since(when) > self.settings.max_list_age;
            // Another VM may have owned keys under a revision that this VM never saw.
            if is_gap && revision != last {
                self.complete_since = at;
            }
        }
        self.confirmed = self.confirmed.max(Some((revision, at)));
    }

    /// Whether this VM owns `key` and no other VM can have run it without this VM knowing.
    pub fn is_authoritative(&self, key: &str, now: Instant) -> bool {
        let handover_passed =
            |at: Instant| now.saturating_duration_since(at) >= self.settings.handover;
        let age = |at: Instant| now.saturating_duration_since(at);
        let list_is_fresh =
            self.confirmed.is_some_and(|(_, at)| age(at) <= self.settings.max_list_age);
        let mut recent_sets = self.former.iter().filter(|(_, at)| !handover_passed(*at));
        let owns = |vms: &[VmId]| key_owner(key, vms) == Some(&self.me);
        list_is_fresh
            && handover_passed(self.complete_since)
            && owns(&self.current)
            && recent_sets.all(|(vms, _)| owns(vms))
    }

    /// Drops former sets that were replaced longer than the handover time ago.
    pub fn tick(&mut self, now: Instant) {
        let handover = self.settings.handover;
        self.former.retain(|(_, at)| now.saturating_duration_since(*at) < handover);
    }
}

/// The VM that owns a key among the VMs of its service, by rendezvous hashing.
pub(crate) fn key_owner<'a>(key: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    rendezvous_first(key.as_bytes(), vms, VmId::as_str)
}

#[cfg(test)]
mod tests;
