//! Places rollouts on VMs.

use std::collections::{BTreeMap, HashMap};

use base::{RolloutId, VmId};
use manifest::{Manifest, Vm, VmList};

use crate::{
    matching::{Bidder, Item, assign},
    quotas::quotas,
    zones::Zones,
};

/// Which VMs serve which rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// VMs of each rollout, in the order in which they take a new release. Two VMs of a rollout keep
    /// their order whatever else changes.
    rollouts: BTreeMap<RolloutId, Vec<VmId>>,
    /// The rollout of each VM; the same pairs as in `rollouts`.
    vms: HashMap<VmId, RolloutId>,
}

impl Placement {
    /// The rollout that `vm` serves.
    pub fn rollout_of(&self, vm: &VmId) -> Option<&RolloutId> {
        self.vms.get(vm)
    }

    /// The VMs of a rollout.
    pub fn vms_of(&self, rollout: &RolloutId) -> &[VmId] {
        self.rollouts.get(rollout).map_or(&[], Vec::as_slice)
    }

    /// All rollouts with their VMs.
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
    let counts = zones.divide(&quotas);
    let mut chosen: Vec<Vec<(u64, &VmId)>> = vec![Vec::new(); quotas.len()];
    for (zone, members) in zones.members().enumerate() {
        let items: Vec<Item> = members.iter().map(|vm| Item::new(vm.id.as_str())).collect();
        let bidders: Vec<Bidder> = quotas
            .iter()
            .zip(&counts)
            .enumerate()
            .filter(|(_, (_, counts))| counts[zone] > 0)
            .map(|(i, ((rollout, _), counts))| Bidder::new(i, rollout.id.as_str(), counts[zone]))
            .collect();
        for (vm, winner) in members.iter().zip(assign(&bidders, &items)) {
            if let Some((bidder, weight)) = winner {
                chosen[bidder].push((weight, &vm.id));
            }
        }
    }
    let mut placement = Placement::default();
    for ((rollout, _), mut vms) in quotas.into_iter().zip(chosen) {
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
