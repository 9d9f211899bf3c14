use std::{collections::HashSet, time::Duration};

use base::{Permille, Rate, Revision, Timeout};
use manifest::{Role, Rollout, VersionRef, VmState, Workspace};

use super::*;
use crate::InputsFingerprint;

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn vm(i: usize, zones: usize) -> Vm {
    Vm {
        id: id(&format!("vm-{i:05}")),
        zone: id(&format!("zone-{}", i % zones)),
        region: id(&format!("region-{}", i % zones / 2)),
        role: Role::Model,
        state: VmState::Live,
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 2).into(),
    }
}

fn list(count: usize, zones: usize) -> VmList {
    VmList { revision: Revision(1), vms: (0..count).map(|i| vm(i, zones)).collect() }
}

fn rollout(i: usize, replicas: usize) -> Rollout {
    Rollout {
        id: id(&format!("rollout-{i:04}")),
        service: id("assistant"),
        workspace: id(&format!("workspace-{}", i % 4)),
        model: VersionRef { id: id("base"), version: id("v1") },
        adapter: None,
        replicas,
        floor: 0,
        canary: 1,
        soak: Timeout(Duration::ZERO),
        order: 0,
        regions: Vec::new(),
        avoid: Vec::new(),
    }
}

fn manifest(rollouts: usize, replicas: usize) -> Manifest {
    let workspace = |i| Workspace {
        id: id(&format!("workspace-{i}")),
        share: Permille(250),
        requests: Rate(1.0),
        queue: 1,
        keys: Vec::new(),
    };
    Manifest {
        revision: Revision(1),
        workspaces: (0..4).map(workspace).collect(),
        rollouts: (0..rollouts).map(|i| rollout(i, replicas)).collect(),
        ..Manifest::default()
    }
}

/// Counts the VMs that serve a different rollout than before, or started to serve one.
fn moves(before: &Placement, after: &Placement) -> usize {
    after.vms.iter().filter(|(vm, rollout)| before.rollout_of(vm) != Some(rollout)).count()
}

fn counts(placement: &Placement, list: &VmList, rollout: &str) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    for vm in placement.vms_of(&id(rollout)) {
        *counts.entry(list.get(vm).unwrap().zone.to_string()).or_default() += 1;
    }
    counts
}

#[test]
fn every_quota_is_met_and_no_vm_serves_two() {
    let (manifest, list) = (manifest(40, 5), list(230, 5));
    let placement = place(&manifest, &list);
    let vms: Vec<&VmId> = placement.rollouts().flat_map(|(_, vms)| vms).collect();
    assert_eq!(vms.len(), 200);
    assert_eq!(vms.iter().collect::<HashSet<_>>().len(), 200);
    for (rollout, vms) in placement.rollouts() {
        assert_eq!(vms.len(), 5);
        assert!(vms.iter().all(|vm| placement.rollout_of(vm) == Some(rollout)));
        assert_eq!(counts(&placement, &list, rollout.as_str()).len(), 5, "one in each zone");
    }
}

#[test]
fn the_order_of_the_inputs_does_not_matter() {
    let (mut manifest, mut list) = (manifest(40, 5), list(210, 7));
    let placement = place(&manifest, &list);
    list.vms.reverse();
    manifest.rollouts.rotate_left(13);
    assert_eq!(place(&manifest, &list), placement);
}

#[test]
fn regions_and_avoided_zones_are_heeded() {
    let (mut manifest, list) = (manifest(2, 12), list(60, 6));
    manifest.rollouts[0].regions = vec![id("region-1")];
    manifest.rollouts[1].avoid = vec![id("zone-0"), id("zone-1")];
    let placement = place(&manifest, &list);
    let first = counts(&placement, &list, "rollout-0000");
    assert_eq!(first, BTreeMap::from([("zone-2".into(), 6), ("zone-3".into(), 6)]));
    let second = counts(&placement, &list, "rollout-0001");
    assert!(!second.contains_key("zone-0") && !second.contains_key("zone-1"));
    assert_eq!(second.values().sum::<usize>(), 12);
}

#[test]
fn a_dead_vm_is_replaced_by_few_moves() {
    let (manifest, mut list) = (manifest(100, 10), list(1100, 5));
    let before = place(&manifest, &list);
    let mut total = 0;
    for i in 0..20 {
        let gone = list.vms.remove(i * 37);
        let after = place(&manifest, &list);
        let lost = before.rollout_of(&gone.id).is_some();
        let count = moves(&before, &after);
        assert!(count > 0 || !lost, "the dead VM is replaced");
        total += count;
        list.vms.insert(i * 37, gone);
    }
    assert!(total <= 20 * 6, "{total} moves for 20 dead VMs");
}

#[test]
fn only_what_the_placement_depends_on_changes_its_inputs() {
    let (manifest, list) = (manifest(3, 2), list(9, 3));
    let inputs = InputsFingerprint::of(&manifest, &list);
    let mut other = manifest.clone();
    other.revision = Revision(9);
    other.rollouts[1].model.version = id("v2");
    other.rollouts[1].floor = 1;
    let mut vms = list.clone();
    vms.revision = Revision(9);
    vms.vms.push(Vm { role: Role::Entry, ..vm(99, 3) });
    assert_eq!(InputsFingerprint::of(&other, &vms), inputs);
    other.rollouts[1].replicas = 3;
    assert_ne!(InputsFingerprint::of(&other, &list), inputs);
    vms.vms[2].state = VmState::Leaving;
    assert_ne!(InputsFingerprint::of(&manifest, &vms), inputs);
}

#[test]
fn a_leaving_vm_serves_nothing() {
    let (manifest, mut list) = (manifest(10, 4), list(50, 2));
    let before = place(&manifest, &list);
    let leaving = before.vms_of(&id("rollout-0003"))[0].clone();
    list.vms.iter_mut().filter(|vm| vm.id == leaving).for_each(|vm| vm.state = VmState::Leaving);
    let after = place(&manifest, &list);
    assert_eq!(after.rollout_of(&leaving), None);
    assert_eq!(after.vms_of(&id("rollout-0003")).len(), 4);
}

#[test]
fn vms_of_a_rollout_keep_their_order() {
    let (manifest, mut list) = (manifest(10, 20), list(230, 3));
    let before = place(&manifest, &list);
    for vm in list.vms.iter_mut().step_by(9) {
        vm.state = VmState::Leaving;
    }
    let after = place(&manifest, &list);
    for (rollout, vms) in after.rollouts() {
        let old = before.vms_of(rollout);
        let kept: Vec<&VmId> = vms.iter().filter(|vm| old.contains(vm)).collect();
        let order: Vec<&VmId> = old.iter().filter(|vm| vms.contains(vm)).collect();
        assert_eq!(kept, order);
    }
}
