//! Selects gossip peers: mostly within the own availability zone and sometimes any VM, so that
//! updates cross zones and both sides of a healed partition find each other again.

use base::{VmId, Zone};
use fastrand::Rng;
use manifest::VmList;

/// One call in this many goes to a VM of the own rollout, if there is one.
const ROLLOUT_ONE_IN: u32 = 2;
/// Of the other calls, one in this many goes to any VM.
const ANYWHERE_ONE_IN: u32 = 4;
/// Maximum number of random draws to find a VM that is not gone.
const MAX_DRAWS: usize = 8;

/// The other VMs, grouped by zone and rollout.
#[derive(Debug, Default)]
pub struct Picker {
    zone: Vec<VmId>,
    all: Vec<VmId>,
    rollout: Vec<VmId>,
}

impl Picker {
    /// Sets the VM list, without `me`, which is in `zone`.
    pub fn set_list(&mut self, vms: &VmList, me: &VmId, zone: &Zone) {
        let others = || vms.vms.iter().filter(|vm| vm.id != *me);
        self.all = others().map(|vm| vm.id.clone()).collect();
        self.zone = others().filter(|vm| vm.zone == *zone).map(|vm| vm.id.clone()).collect();
    }

    /// Sets the VMs of the own rollout, without `me`.
    pub fn set_rollout_vms(&mut self, vms: &[VmId], me: &VmId) {
        self.rollout = vms.iter().filter(|vm| *vm != me).cloned().collect();
    }

    /// Picks a VM to gossip with. VMs that are gone are picked only when the draw is among all VMs;
    /// the call then finds out whether they are back.
    pub fn pick(&self, rng: &mut Rng, gone: impl Fn(&VmId) -> bool) -> Option<VmId> {
        let live = |rng: &mut Rng, from: &[VmId]| {
            let draws = (0..MAX_DRAWS.min(from.len())).map(|_| &from[rng.usize(..from.len())]);
            draws.into_iter().find(|vm| !gone(vm)).cloned()
        };
        let group = if rng.u32(..ROLLOUT_ONE_IN) == 0 { live(rng, &self.rollout) } else { None };
        if group.is_some() {
            return group;
        }
        let zone = if rng.u32(..ANYWHERE_ONE_IN) > 0 { live(rng, &self.zone) } else { None };
        zone.or_else(|| self.pick_any(rng))
    }

    /// Picks any listed VM, also one that is gone.
    pub fn pick_any(&self, rng: &mut Rng) -> Option<VmId> {
        if self.all.is_empty() { None } else { Some(self.all[rng.usize(..self.all.len())].clone()) }
    }

    /// Picks up to `count` distinct VMs, half of them from the own zone.
    pub fn pick_several(&self, count: usize, rng: &mut Rng) -> Vec<VmId> {
        let mut picked = Vec::new();
        for i in 0..count * MAX_DRAWS {
            let from = if i % 2 == 0 && !self.zone.is_empty() { &self.zone } else { &self.all };
            if from.is_empty() || picked.len() == count {
                break;
            }
            let vm = &from[rng.usize(..from.len())];
            if !picked.contains(vm) {
                picked.push(vm.clone());
            }
        }
        picked
    }

    /// Returns the number of other VMs in the list.
    pub fn peer_count(&self) -> usize {
        self.all.len()
    }
}

#[cfg(test)]
mod tests;
