//! Assigns VMs to rollouts within one zone: the stable matching by weights that both sides share.
//!
//! The weight of a rollout and a VM depends on their names alone, and each VM belongs to the rollout
//! with the highest weight among those that want it. A change moves VMs along one chain of such
//! wants, which ends at a VM that nobody had.

use std::collections::BinaryHeap;

use twox_hash::XxHash64;

/// A rollout with the VMs that it gets in the zone.
pub(crate) struct RolloutNode {
    /// Its number in the caller's list.
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

/// The winner of each item with the weight of the two; the counts must not exceed the items.
pub(crate) fn assign(bidders: &[RolloutNode], items: &[VmNode]) -> Vec<Option<(usize, u64)>> {
    let mut owners: Vec<Option<(u64, usize)>> = vec![None; items.len()];
    let mut wishes: Vec<Option<BinaryHeap<(u64, usize)>>> = bidders.iter().map(|_| None).collect();
    // Bidders that want one more item, once for each.
    let mut open: Vec<usize> = Vec::new();
    for (i, bidder) in bidders.iter().enumerate() {
        open.extend(std::iter::repeat_n(i, bidder.count));
    }
    while let Some(i) = open.pop() {
        let wishes = wishes[i].get_or_insert_with(|| all_weights(&bidders[i], items));
        // Items that prefer another are passed over; they never come back to a lower weight.
        while let Some((weight, item)) = wishes.pop() {
            let claim = (weight, i);
            match owners[item] {
                Some(owner) if owner > claim => {}
                owner => {
                    owners[item] = Some(claim);
                    open.extend(owner.map(|(_, loser)| loser));
                    break;
                }
            }
        }
    }
    let winner = |(weight, i): (u64, usize)| (bidders[i].id, weight);
    owners.into_iter().map(|owner| owner.map(winner)).collect()
}

fn all_weights(bidder: &RolloutNode, items: &[VmNode]) -> BinaryHeap<(u64, usize)> {
    items.iter().map(|item| weight(bidder, item)).zip(0..).collect()
}

fn weight(bidder: &RolloutNode, item: &VmNode) -> u64 {
    XxHash64::oneshot(bidder.seed, &item.hash)
}

#[cfg(test)]
mod tests;
