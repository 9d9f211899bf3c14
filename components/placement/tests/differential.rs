//! Compares the placement with naive reference implementations.

use std::collections::HashSet;

use base::{Permille, Rate, Revision, RolloutId};
use manifest::{
    Manifest, Model, Role, Rollout, Version, VersionRef, Vm, VmList, VmState, Workspace,
};
use placement::{Claim, max_min_allocation, place};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 300;

fn random_below(g: &mut Gen, n: usize) -> usize {
    usize::arbitrary(g) % n.max(1)
}

/// Allocates one unit at a time to the claim with the lowest ratio of units to weight.
fn allocate_one_by_one(units: usize, claims: &[Claim]) -> Vec<usize> {
    let mut allocated = vec![0; claims.len()];
    for _ in 0..units {
        let unsatisfied = (0..claims.len()).filter(|&i| allocated[i] < claims[i].demand);
        let ratio = |i: usize| (allocated[i] + 1) as f64 / f64::from(claims[i].weight.max(1));
        let Some(next) = unsatisfied.min_by(|&a, &b| ratio(a).total_cmp(&ratio(b))) else { break };
        allocated[next] += 1;
    }
    allocated
}

#[test]
fn max_min_allocation_follows_exact_water_filling() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let claims: Vec<Claim> = (0..1 + random_below(&mut g, 6))
            .map(|_| Claim {
                weight: 1 + random_below(&mut g, 500) as u32,
                demand: random_below(&mut g, 60),
            })
            .collect();
        let units = random_below(&mut g, 150);
        let (actual, expected) =
            (max_min_allocation(units, &claims), allocate_one_by_one(units, &claims));
        let demand: usize = claims.iter().map(|c| c.demand).sum();
        assert_eq!(actual.iter().sum::<usize>(), units.min(demand), "seed {seed}");
        for (i, claim) in claims.iter().enumerate() {
            assert!(actual[i] <= claim.demand, "seed {seed}");
            let gap = actual[i].abs_diff(expected[i]);
            assert!(gap <= claims.len(), "seed {seed}: {actual:?} and {expected:?} for {claims:?}");
        }
    }
}

fn fleet(g: &mut Gen) -> (Manifest, VmList) {
    let workspaces = 1 + random_below(g, 3);
    let version = Version {
        id: "v1".parse().unwrap(),
        size: base::ByteSize(1),
        chunks: base::Digest::of(b"list"),
    };
    let model = VersionRef { id: "base".parse().unwrap(), version: version.id.clone() };
    let rollout: Rollout = serde_json::from_str(
        r#"{"id":"r","service":"assistant","workspace":"w",
            "model":{"id":"base","version":"v1"},"replicas":1}"#,
    )
    .unwrap();
    let rollouts = (0..1 + random_below(g, 5)).map(|i| Rollout {
        id: format!("rollout-{i}").parse().unwrap(),
        service: "assistant".parse().unwrap(),
        workspace: format!("workspace-{}", random_below(g, workspaces)).parse().unwrap(),
        model: model.clone(),
        replicas: 1 + random_below(g, 20),
        order: random_below(g, 3) as u32,
        ..rollout.clone()
    });
    let rollouts = rollouts.collect();
    let share = Permille(1000 / workspaces as u32);
    let workspace = |i| Workspace {
        id: format!("workspace-{i}").parse().unwrap(),
        share,
        requests: Rate(1.0),
        queue: 1,
        keys: Vec::new(),
    };
    let manifest = Manifest {
        revision: Revision(1),
        workspaces: (0..workspaces).map(workspace).collect(),
        models: vec![Model { id: "base".parse().unwrap(), versions: vec![version] }],
        rollouts,
        ..Manifest::default()
    };
    let zones = 1 + random_below(g, 4);
    let vms = (0..random_below(g, 50)).map(|i| Vm {
        id: format!("vm-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % zones).parse().unwrap(),
        region: "region".parse().unwrap(),
        role: Role::Model,
        state: if random_below(g, 8) == 0 { VmState::Leaving } else { VmState::Live },
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 2).into(),
    });
    (manifest, VmList { revision: Revision(1), vms: vms.collect() })
}

/// Computes how many VMs each rollout gets: the allocation of each workspace, handed to its
/// rollouts in order.
fn naive_counts(manifest: &Manifest, live: usize) -> Vec<(RolloutId, usize)> {
    let mut rollouts: Vec<&Rollout> = manifest.rollouts.iter().collect();
    rollouts.sort_by_key(|r| (r.order, r.id.clone()));
    let demand = |w: &Workspace| -> usize {
        rollouts.iter().filter(|r| r.workspace == w.id).map(|r| r.replicas).sum()
    };
    let claims: Vec<Claim> = manifest
        .workspaces
        .iter()
        .map(|w| Claim { weight: w.share.0, demand: demand(w) })
        .collect();
    let allocations = max_min_allocation(live, &claims);
    let mut counts = Vec::new();
    for (workspace, mut allocation) in manifest.workspaces.iter().zip(allocations) {
        for rollout in rollouts.iter().filter(|r| r.workspace == workspace.id) {
            let count = allocation.min(rollout.replicas);
            allocation -= count;
            counts.push((rollout.id.clone(), count));
        }
    }
    counts
}

#[test]
fn place_gives_each_rollout_its_count_of_distinct_live_vms() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let (manifest, vms) = fleet(&mut g);
        let live: HashSet<_> = vms.live_model_vms().map(|vm| &vm.id).collect();
        let placement = place(&manifest, &vms);
        let mut seen = HashSet::new();
        for (rollout, count) in naive_counts(&manifest, live.len()) {
            let assigned = placement.vms_of(&rollout);
            assert_eq!(assigned.len(), count, "seed {seed}: {rollout}");
            for vm in assigned {
                assert!(live.contains(vm) && seen.insert(vm.clone()), "seed {seed}: {vm}");
                assert_eq!(placement.rollout_of(vm), Some(&rollout), "seed {seed}");
            }
        }
    }
}

#[test]
fn place_depends_on_the_sets_only() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let (mut manifest, mut vms) = fleet(&mut g);
        let before = place(&manifest, &vms);
        vms.vms.reverse();
        manifest.rollouts.reverse();
        assert_eq!(place(&manifest, &vms), before, "seed {seed}");
    }
}
