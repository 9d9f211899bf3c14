//! Selects the processes of an availability zone that read from the platform; the others get the
//! documents by gossip.

use base::{VmId, Zone, rendezvous_order};
use manifest::{VmList, VmState};

/// Number of processes per zone that read from the platform.
const READERS_PER_ZONE: usize = 2;

/// The live VMs of a zone in order of preference as readers.
#[derive(Debug, Default)]
pub(crate) struct Readers {
    ranking: Vec<VmId>,
}

impl Readers {
    /// Orders the live VMs of `zone`. Processes with the same VM list compute the same order.
    pub(crate) fn set_list(&mut self, vms: &VmList, zone: &Zone) {
        let in_zone = vms.vms.iter().filter(|v| v.zone == *zone && v.state == VmState::Live);
        let ranking = rendezvous_order(zone.as_str().as_bytes(), in_zone, |vm| vm.id.as_str());
        self.ranking = ranking.into_iter().map(|vm| vm.id.clone()).collect();
    }

    /// Whether `me` is a reader: it is among the first VMs that are not gone, or it is not in the
    /// list.
    pub(crate) fn is_reader(&self, me: &VmId, gone: impl Fn(&VmId) -> bool) -> bool {
        let mut readers = self.ranking.iter().filter(|vm| !gone(vm)).take(READERS_PER_ZONE);
        readers.any(|vm| vm == me) || !self.ranking.contains(me)
    }
}

#[cfg(test)]
mod tests;
