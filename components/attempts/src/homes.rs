//! Whether this VM is the home of an idempotency key, and long enough to know all of its uses.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{Revision, VmId, highest};

/// Bounds of the homes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HomesSettings {
    /// Time after a start, or after a key's home changed, for which a key that is not known here
    /// may have run elsewhere. At least the retention of keys plus twice `fresh`.
    pub handover: Duration,
    /// Time after which a VM list that nobody confirmed no longer counts.
    pub fresh: Duration,
    /// Most former sets of VMs that are remembered.
    pub limit: usize,
}

impl Default for HomesSettings {
    fn default() -> HomesSettings {
        HomesSettings {
            handover: Duration::from_secs(240),
            fresh: Duration::from_secs(30),
            limit: 64,
        }
    }
}

/// The VMs of this VM's service, now and a while ago.
#[derive(Debug)]
pub struct Homes {
    settings: HomesSettings,
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

impl Homes {
    /// Homes of a process that started at `now`.
    pub fn new(me: VmId, settings: HomesSettings, now: Instant) -> Homes {
        let (current, former) = (Vec::new(), VecDeque::new());
        Homes { settings, me, current, former, since: now, confirmed: None }
    }

    /// The VM list names these VMs for the service.
    pub fn set_members(&mut self, mut vms: Vec<VmId>, now: Instant) {
        vms.sort();
        if vms == self.current {
            return;
        }
        let former = std::mem::replace(&mut self.current, vms);
        self.former.push_back((former, now));
        if self.former.len() > self.settings.limit {
            self.former.clear();
            self.since = now;
        }
    }

    /// The VM list was the newest at `at`.
    pub fn confirm(&mut self, revision: Revision, at: Instant) {
        if let Some((last, when)) = self.confirmed {
            let gap = at.saturating_duration_since(when) > self.settings.fresh;
            // Another VM may have been the home under a revision that this one never saw.
            if gap && revision != last {
                self.since = at;
            }
        }
        self.confirmed = self.confirmed.max(Some((revision, at)));
    }

    /// Whether no other VM can have run `key` without this one knowing.
    pub fn vouches(&self, key: &str, now: Instant) -> bool {
        let past = |at: Instant| now.saturating_duration_since(at) >= self.settings.handover;
        let age = |at: Instant| now.saturating_duration_since(at);
        let fresh = self.confirmed.is_some_and(|(_, at)| age(at) <= self.settings.fresh);
        let mut recent = self.former.iter().filter(|(_, at)| !past(*at));
        let mine = |vms: &[VmId]| home(key, vms) == Some(&self.me);
        fresh && past(self.since) && mine(&self.current) && recent.all(|(vms, _)| mine(vms))
    }

    /// Forgets sets that were replaced long ago.
    pub fn tick(&mut self, now: Instant) {
        let handover = self.settings.handover;
        self.former.retain(|(_, at)| now.saturating_duration_since(*at) < handover);
    }
}

/// The home of a key among the VMs of its service.
pub(crate) fn home<'a>(key: &str, vms: &'a [VmId]) -> Option<&'a VmId> {
    highest(key.as_bytes(), vms, VmId::as_str)
}

#[cfg(test)]
mod tests;
