use super::*;

fn rollouts(counts: &[usize]) -> Vec<RolloutNode> {
    let rollout =
        |(i, count): (usize, &usize)| RolloutNode::new(i, &format!("rollout-{i}"), *count);
    counts.iter().enumerate().map(rollout).collect()
}

fn vms(count: usize) -> Vec<VmNode> {
    (0..count).map(|i| VmNode::new(&format!("vm-{i}"))).collect()
}

/// Whether a blocking pair exists: a rollout and a VM that both prefer each other to what they
/// have.
fn has_blocking_pair(
    rollouts: &[RolloutNode],
    vms: &[VmNode],
    owners: &[Option<(usize, u64)>],
) -> bool {
    rollouts.iter().enumerate().any(|(i, rollout)| {
        let owned = owners.iter().flatten().filter(|(owner, _)| *owner == i);
        let lowest = owned.map(|(_, weight)| *weight).min().unwrap_or(u64::MAX);
        vms.iter().zip(owners).any(|(vm, owner)| {
            let weight = weight(rollout, vm);
            weight > lowest && owner.is_none_or(|(_, other)| weight > other)
        })
    })
}

#[test]
fn the_matching_is_stable_and_every_count_is_met() {
    for (counts, count) in [(vec![3, 5, 2, 10], 25), (vec![4; 10], 40), (vec![1; 30], 31)] {
        let (rollouts, vms) = (rollouts(&counts), vms(count));
        let owners = assign(&rollouts, &vms);
        for (i, wanted) in counts.iter().enumerate() {
            let owned = owners.iter().flatten().filter(|(owner, _)| *owner == i);
            assert_eq!(owned.count(), *wanted);
        }
        assert!(!has_blocking_pair(&rollouts, &vms, &owners));
    }
}
