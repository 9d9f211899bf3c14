use super::*;

fn bidders(counts: &[usize]) -> Vec<RolloutNode> {
    let bidder = |(i, count): (usize, &usize)| RolloutNode::new(i, &format!("rollout-{i}"), *count);
    counts.iter().enumerate().map(bidder).collect()
}

fn items(count: usize) -> Vec<VmNode> {
    (0..count).map(|i| VmNode::new(&format!("vm-{i}"))).collect()
}

/// Whether a bidder and an item both prefer each other to what they have.
fn is_blocked(bidders: &[RolloutNode], items: &[VmNode], owners: &[Option<(usize, u64)>]) -> bool {
    bidders.iter().enumerate().any(|(i, bidder)| {
        let owned = owners.iter().flatten().filter(|(owner, _)| *owner == i);
        let lowest = owned.map(|(_, weight)| *weight).min().unwrap_or(u64::MAX);
        items.iter().zip(owners).any(|(item, owner)| {
            let weight = weight(bidder, item);
            weight > lowest && owner.is_none_or(|(_, other)| weight > other)
        })
    })
}

#[test]
fn the_matching_is_stable_and_every_count_is_met() {
    for (counts, count) in [(vec![3, 5, 2, 10], 25), (vec![4; 10], 40), (vec![1; 30], 31)] {
        let (bidders, items) = (bidders(&counts), items(count));
        let owners = assign(&bidders, &items);
        for (i, wanted) in counts.iter().enumerate() {
            let owned = owners.iter().flatten().filter(|(owner, _)| *owner == i);
            assert_eq!(owned.count(), *wanted);
        }
        assert!(!is_blocked(&bidders, &items, &owners));
    }
}
