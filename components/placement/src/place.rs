//! Computes the placement of rollouts on VMs.

use std::collections::{BTreeMap, HashMap};

use base::{RolloutId, VmId};
use manifest::{Manifest, Vm, VmList};

use crate::{
    matching::{RolloutNode, VmNode, assign},
    quotas::quotas,
    zones::Zones,
};

/// The assignment of VMs to rollouts.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// VMs of each rollout, in the order in which they switch to a new release. The relative order
    /// of two VMs of a rollout does not depend on any other VM or rollout.
    rollouts: BTreeMap<RolloutId, Vec<VmId>>,
    /// The rollout of each VM: the inverse of `rollouts`.
    vms: HashMap<VmId, RolloutId>,
}

impl Placement {
    /// Returns the rollout that `vm` serves.
    pub fn rollout_of(&self, vm: &VmId) -> Option<&RolloutId> {
        self.vms.get(vm)
    }

    /// Returns the VMs of a rollout, empty for an unknown one.
    pub fn vms_of(&self, rollout: &RolloutId) -> &[VmId] {
        self.rollouts.get(rollout).map_or(&[], Vec::as_slice)
    }

    /// Iterates over all rollouts with their VMs.
    pub fn rollouts(&self) -> impl Iterator<Item = (&RolloutId, &[VmId])> {
        self.rollouts.iter().map(|(id, vms)| (id, vms.as_slice()))
    }
}

/// Places the rollouts of `manifest` on the live VMs of `vms`.
pub fn place(manifest: &Manifest, vms: &VmList) -> Placement {
    let mut live: Vec<&Vm> = vms.live_model_vms().collect();
    live.sort_by(|a, b| a.id.cmp(&b.id));
    let quotas = quotas(manifest, live.len());
    let zones = Zones::new(&live);
    let counts = zones.divide_quotas(&quotas);
    let mut assigned: Vec<Vec<(u64, &VmId)>> = vec![Vec::new(); quotas.len()];
    for (zone, members) in zones.members().enumerate() {
        let vm_nodes: Vec<VmNode> = members.iter().map(|vm| VmNode::new(vm.id.as_str())).collect();
        let rollout_nodes: Vec<RolloutNode> = quotas
            .iter()
            .zip(&counts)
            .enumerate()
            .filter(|(_, (_, counts))| counts[zone] > 0)
            .map(|(i, ((rollout, _), counts))| {
                RolloutNode::new(i, rollout.id.as_str(), counts[zone])
            })
            .collect();
        for (vm, winner) in members.iter().zip(assign(&rollout_nodes, &vm_nodes)) {
            if let Some((rollout, weight)) = winner {
                assigned[rollout].push((weight, &vm.id));
            }
        }
    }
    let mut placement = Placement::default();
    for ((rollout, _), mut vms) in quotas.into_iter().zip(assigned) {
        vms.sort_by(|a, b| b.cmp(a));
        for (_, vm) in &vms {
            placement.vms.insert((*vm).clone(), rollout.id.clone());
        }
        let vms = vms.into_iter().map(|(_, vm)| vm.clone()).collect();
        placement.rollouts.insert(rollout.id.clone(), vms);
    }
    placement
}

#[cfg(test)]
mod tests;
