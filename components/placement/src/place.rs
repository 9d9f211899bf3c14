//! Places rollouts on VMs.

use std::collections::{BTreeMap, HashSet};

use base::{RolloutId, VmId, Zone, ranked};
use manifest::{Manifest, Rollout, Vm, VmList};

use crate::{Claim, fill};

/// Which VMs serve which rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Placement {
    /// VMs of each rollout, in the order in which they take a new release.
    pub rollouts: BTreeMap<RolloutId, Vec<VmId>>,
}

impl Placement {
    /// The rollout that `vm` serves.
    pub fn rollout_of(&self, vm: &VmId) -> Option<&RolloutId> {
        self.rollouts.iter().find(|(_, vms)| vms.contains(vm)).map(|(id, _)| id)
    }

    /// The VMs of a rollout.
    pub fn vms_of(&self, rollout: &RolloutId) -> &[VmId] {
        self.rollouts.get(rollout).map_or(&[], Vec::as_slice)
    }
}

/// Places the rollouts of `manifest` on the live VMs of `vms`.
pub fn place(manifest: &Manifest, vms: &VmList) -> Placement {
    let mut live: Vec<&Vm> = vms.live_models().collect();
    live.sort_by(|a, b| a.id.cmp(&b.id));
    let quotas = quotas(manifest, live.len());
    let mut placement = Placement::default();
    let mut taken = HashSet::new();
    for (rollout, quota) in quotas {
        let free = live.iter().copied().filter(|vm| !taken.contains(&vm.id));
        let chosen = choose(rollout, quota, free);
        taken.extend(chosen.iter().cloned());
        placement.rollouts.insert(rollout.id.clone(), chosen);
    }
    placement
}

/// VMs that each rollout gets, in the order in which the rollouts choose.
fn quotas(manifest: &Manifest, units: usize) -> Vec<(&Rollout, usize)> {
    let mut rollouts: Vec<&Rollout> = manifest.rollouts.iter().collect();
    rollouts.sort_by(|a, b| a.order.cmp(&b.order).then_with(|| a.id.cmp(&b.id)));
    let demand = |id| rollouts.iter().filter(|r| r.workspace == id).map(|r| r.replicas).sum();
    let claims: Vec<Claim> = manifest
        .workspaces
        .iter()
        .map(|w| Claim { weight: w.share.0, demand: demand(w.id.clone()) })
        .collect();
    let mut left: BTreeMap<_, usize> =
        manifest.workspaces.iter().map(|w| &w.id).zip(fill(units, &claims)).collect();
    rollouts
        .into_iter()
        .map(|rollout| {
            let left = left.get_mut(&rollout.workspace);
            let quota = left.as_deref().copied().unwrap_or(0).min(rollout.replicas);
            if let Some(left) = left {
                *left -= quota;
            }
            (rollout, quota)
        })
        .collect()
}

/// The first `quota` VMs in rendezvous order, taken from the zones in turn.
fn choose<'a>(rollout: &Rollout, quota: usize, free: impl Iterator<Item = &'a Vm>) -> Vec<VmId> {
    let allowed: Vec<&Vm> = free.filter(|vm| !rollout.avoid.contains(&vm.zone)).collect();
    let key = rollout.id.as_str().as_bytes();
    let order = ranked(key, allowed, |vm| vm.id.as_str());
    let mut turns: BTreeMap<&Zone, usize> = BTreeMap::new();
    let mut slots: Vec<(usize, usize, usize, &Vm)> = order
        .into_iter()
        .enumerate()
        .map(|(i, vm)| {
            let turn = turns.entry(&vm.zone).or_default();
            *turn += 1;
            (preference(rollout, vm), *turn, i, vm)
        })
        .collect();
    slots.sort_by_key(|(preference, turn, i, _)| (*preference, *turn, *i));
    slots.into_iter().take(quota).map(|(_, _, _, vm)| vm.id.clone()).collect()
}

fn preference(rollout: &Rollout, vm: &Vm) -> usize {
    let position = rollout.regions.iter().position(|region| *region == vm.region);
    position.unwrap_or(rollout.regions.len())
}
