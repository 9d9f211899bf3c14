//! Which processes of a zone read from the platform; the others learn from them.

use base::{VmId, Zone, rendezvous_order};
use manifest::{VmList, VmState};

/// Processes in each zone that read from the platform.
const READERS_PER_ZONE: usize = 2;

/// The live VMs of a zone in the order in which they become readers.
#[derive(Debug, Default)]
pub(crate) struct Readers {
    order: Vec<VmId>,
}

impl Readers {
    /// Orders the live VMs of `zone`; all its processes with the same list get the same order.
    pub(crate) fn set_list(&mut self, vms: &VmList, zone: &Zone) {
        let in_zone = vms.vms.iter().filter(|v| v.zone == *zone && v.state == VmState::Live);
        let order = rendezvous_order(zone.as_str().as_bytes(), in_zone, |vm| vm.id.as_str());
        self.order = order.into_iter().map(|vm| vm.id.clone()).collect();
    }

    /// Whether `me` reads: it is among the first that are not gone, or the list does not name it.
    pub(crate) fn reads(&self, me: &VmId, gone: impl Fn(&VmId) -> bool) -> bool {
        let mut readers = self.order.iter().filter(|vm| !gone(vm)).take(READERS_PER_ZONE);
        readers.any(|vm| vm == me) || !self.order.contains(me)
    }
}

#[cfg(test)]
mod tests;
