use manifest::{Role, Vm, VmState};

use super::*;

fn list(zones: usize, each: usize) -> VmList {
    let vm = |i: usize| Vm {
        id: format!("vm-{i:05}").parse().unwrap(),
        zone: format!("zone-{}", i % zones).parse().unwrap(),
        region: "region".parse().unwrap(),
        role: Role::Model,
        state: VmState::Live,
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 2).into(),
    };
    VmList { vms: (0..zones * each).map(vm).collect(), ..VmList::default() }
}

fn picker(list: &VmList) -> Picker {
    let mut picker = Picker::default();
    picker.set_list(list, &list.vms[0].id, &list.vms[0].zone);
    picker
}

#[test]
fn most_calls_stay_in_the_zone_and_some_leave_it() {
    let list = list(19, 100);
    let picker = picker(&list);
    let mut rng = Rng::with_seed(1);
    let picks = (0..1000).filter_map(|_| picker.pick(&mut rng, |_| false));
    let own = picks.filter(|vm| list.get(vm).unwrap().zone == list.vms[0].zone).count();
    assert!((700..850).contains(&own), "{own}");
}

#[test]
fn half_the_calls_go_to_the_own_rollout() {
    let list = list(19, 100);
    let mut picker = picker(&list);
    let group: Vec<VmId> = list.vms[..40].iter().map(|vm| vm.id.clone()).collect();
    picker.set_rollout_vms(&group, &group[0]);
    let mut rng = Rng::with_seed(1);
    let picks = (0..1000).filter_map(|_| picker.pick(&mut rng, |_| false));
    let near = picks.filter(|vm| group.contains(vm)).count();
    assert!((450..600).contains(&near), "{near}");
}

#[test]
fn vms_that_are_gone_are_called_occasionally() {
    let list = list(1, 50);
    let picker = picker(&list);
    let mut rng = Rng::with_seed(1);
    let back: VmId = "vm-00007".parse().unwrap();
    let gone = |vm: &VmId| *vm == back;
    let called = (0..2000).filter_map(|_| picker.pick(&mut rng, gone)).filter(|vm| *vm == back);
    assert!((3..40).contains(&called.count()));
    let none = Picker::default();
    assert_eq!(none.pick(&mut rng, gone), None);
    assert!(none.pick_several(5, &mut rng).is_empty());
}

#[test]
fn picked_vms_are_distinct() {
    let picker = picker(&list(3, 10));
    let mut rng = Rng::with_seed(1);
    let mut picked = picker.pick_several(5, &mut rng);
    picked.sort();
    picked.dedup();
    assert_eq!(picked.len(), 5);
}
