//! Whether this VM is the home of an idempotency key, and long enough to know all of its uses.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{Revision, VmId, highest};

/// Bounds of the homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyOwnershipSettings {
    /// Time after a start, or after a key's home changed, for which a key that is not known here
    /// may have run elsewhere. At least the retention of keys plus twice `fresh`.
    pub handover: Duration,
    /// Time after which a VM list that nobody confirmed no longer counts.
    pub max_list_age: Duration,
    /// Most former sets of VMs that are remembered.
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

/// The VMs of this VM's service, now and a while ago.
#[derive(Debug)]
pub struct KeyOwnership {
    settings: KeyOwnershipSettings,
    me: VmId,
    /// Sorted.
    current: Vec<VmId>,
    /// Former sets, and when they were replaced; the oldest first.
    former: VecDeque<(Vec<VmId>, Instant)>,
    /// Since when all uses of this VM's keys are known.
    since: Instant,
    /// The revision of the VM list that was last known to be the newest, and when.
    confirmed: Option<(Revision, Instant)>,
}

impl KeyOwnership {
    /// Homes of a process that started at `now`.
    pub fn new(me: VmId, settings: KeyOwnershipSettings, now: Instant) -> KeyOwnership {
        let (current, former) = (Vec::new(), VecDeque::new());
        KeyOwnership { settings, me, current, former, since: now, confirmed: None }
    }

    /// The VM list names these VMs for the service.
    pub fn set_members(&mut self, mut vms: Vec<VmId>, now: Instant) {
        vms.sort();
        if vms == self.current {
            return;
        }
        let former = std::mem::replace(&mut self.current, vms);
        self.former.push_back((former, now));
        if self.former.len() > self.settings.max_former_sets {
            self.former.clear();
            self.since = now;
        }
    }

    /// The VM list was the newest at `at`.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if let Some((last, when)) = self.confirmed {
            let gap = at.saturating_duration_since(when) > self.settings.max_list_age;
            // Another VM may have been the home under a revision that this one never saw.
            if gap && revision != last {
                self.since = at;
            }
        }
        self.confirmed = self.confirmed.max(Some((revision, at)));
    }

    /// Whether no other VM can have run `key` without this one knowing.
    pub fn is_authoritative(&self, key: &str, now: Instant) -> bool {
        let past = |at: Instant| now.saturating_duration_since(at) >= self.settings.handover;
        let age = |at: Instant| now.saturating_duration_since(at);
        let fresh = self.confirmed.is_some_and(|(_, at)| age(at) <= self.settings.max_list_age);
        let mut recent = self.former.iter().filter(|(_, at)| !past(*at));
        let mine = |vms: &[VmId]| key_owner(key, vms) == Some(&self.me);
        fresh && past(self.since) && mine(&self.current) && recent.all(|(vms, _)| mine(vms))
    }

    /// Forgets sets that were replaced long ago.
    pub fn tick(&mut self, now: Instant) {
        let handover = self.settings.handover;
        self.former.retain(|(_, at)| now.saturating_duration_since(*at) < handover);
    }
}

/// The home of a key among the VMs of its service.
pub(crate) fn key_owner<'a>(key: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    highest(key.as_bytes(), vms, VmId::as_str)
}

#[cfg(test)]
mod tests;
