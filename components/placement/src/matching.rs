//! Assigns VMs to rollouts within one zone by deferred acceptance. The result is the stable
//! matching under weights that both sides share.
//!
//! The weight of a rollout and a VM depends on their names alone, and each VM goes to the rollout
//! with the highest weight among those that propose to it. Adding or removing a VM or a rollout
//! replica displaces VMs along a single chain, which ends at a VM that was unassigned.

use std::collections::BinaryHeap;

use twox_hash::XxHash64;

/// A rollout with the number of VMs that it gets in the zone.
pub(crate) struct RolloutNode {
    /// Its index in the caller's list.
    id: usize,
    seed: u64,
    count: usize,
}

impl RolloutNode {
    pub(crate) fn new(id: usize, name: &str, count: usize) -> RolloutNode {
        RolloutNode { id, seed: XxHash64::oneshot(0, name.as_bytes()), count }
    }
}

/// A VM of the zone.
pub(crate) struct VmNode {
    hash: [u8; 8],
}

impl VmNode {
    pub(crate) fn new(name: &str) -> VmNode {
        VmNode { hash: XxHash64::oneshot(0, name.as_bytes()).to_le_bytes() }
    }
}

/// Returns the rollout assigned to each VM with the weight of the pair. The counts must not add up
/// to more than the VMs.
pub(crate) fn assign(rollouts: &[RolloutNode], vms: &[VmNode]) -> Vec<Option<(usize, u64)>> {
    let mut owners: Vec<Option<(u64, usize)>> = vec![None; vms.len()];
    let mut preferences: Vec<Option<BinaryHeap<(u64, usize)>>> =
        rollouts.iter().map(|_| None).collect();
    // Rollouts that lack VMs, once for each missing VM.
    let mut unmatched: Vec<usize> = Vec::new();
    for (i, rollout) in rollouts.iter().enumerate() {
        unmatched.extend(std::iter::repeat_n(i, rollout.count));
    }
    while let Some(i) = unmatched.pop() {
        let preferences = preferences[i].get_or_insert_with(|| preferences_of(&rollouts[i], vms));
        // Skips VMs that are held by a rollout of higher weight: a VM never returns to a lower
        // weight.
        while let Some((weight, vm)) = preferences.pop() {
            let proposal = (weight, i);
            match owners[vm] {
                Some(owner) if owner > proposal => {}
                owner => {
                    owners[vm] = Some(proposal);
                    unmatched.extend(owner.map(|(_, displaced)| displaced));
                    break;
                }
            }
        }
    }
    let assignment = |(weight, i): (u64, usize)| (rollouts[i].id, weight);
    owners.into_iter().map(|owner| owner.map(assignment)).collect()
}

fn preferences_of(rollout: &RolloutNode, vms: &[VmNode]) -> BinaryHeap<(u64, usize)> {
    vms.iter().map(|vm| weight(rollout, vm)).zip(0..).collect()
}

fn weight(rollout: &RolloutNode, vm: &VmNode) -> u64 {
    XxHash64::oneshot(rollout.seed, &vm.hash)
}

#[cfg(test)]
mod tests;
