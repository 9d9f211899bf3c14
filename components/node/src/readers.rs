//! The processes of an availability zone that read from the platform; the others get the documents
//! by gossip.

use base::{Readers, VmId, Zone};
use manifest::{VmList, VmState};

/// Number of processes per zone that read from the platform.
const READERS_PER_ZONE: usize = 2;

/// Orders the live VMs of `zone` as readers.
pub(crate) fn zone_readers(vms: &VmList, zone: &Zone) -> Readers<VmId> {
    let in_zone = vms.vms.iter().filter(|v| v.zone == *zone && v.state == VmState::Live);
    Readers::new(zone, in_zone.map(|vm| vm.id.clone()), READERS_PER_ZONE)
}

#[cfg(test)]
mod tests;
