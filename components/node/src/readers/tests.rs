use manifest::{Role, Vm};

use super::*;

fn list(count: usize) -> VmList {
    let vm = |i: usize| Vm {
        id: format!("vm-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % 2).parse().unwrap(),
        region: "region".parse().unwrap(),
        role: Role::Model,
        state: VmState::Live,
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 2).into(),
    };
    VmList { vms: (0..count).map(vm).collect(), ..VmList::default() }
}

fn readers(list: &VmList, gone: &[VmId]) -> Vec<VmId> {
    let zone = list.vms[0].zone.clone();
    let readers = zone_readers(list, &zone);
    let in_zone = list.vms.iter().filter(|vm| vm.zone == zone).map(|vm| &vm.id);
    let live = in_zone.filter(|vm| !gone.contains(vm));
    live.filter(|me| readers.is_reader(me, |vm| gone.contains(vm))).cloned().collect()
}

#[test]
fn each_zone_has_few_readers_and_others_replace_those_that_are_gone() {
    let list = list(40);
    let first = readers(&list, &[]);
    assert_eq!(first.len(), READERS_PER_ZONE);
    let next = readers(&list, &first);
    assert_eq!(next.len(), READERS_PER_ZONE);
    assert!(next.iter().all(|vm| !first.contains(vm)));
    let one = readers(&list, &first[..1]);
    assert!(one.contains(&first[1]), "the other reader goes on");
}

#[test]
fn a_leaving_vm_does_not_read_and_an_unlisted_one_does() {
    let mut list = list(40);
    let first = readers(&list, &[]);
    list.vms.iter_mut().filter(|vm| vm.id == first[0]).for_each(|v| v.state = VmState::Leaving);
    let readers = zone_readers(&list, &list.vms[0].zone);
    let me = "unlisted".parse().unwrap();
    assert!(readers.is_reader(&me, |_| false));
    let current: Vec<&VmId> = readers.current(|_| false).collect();
    assert_eq!(current.len(), READERS_PER_ZONE);
    assert!(!current.contains(&&first[0]));
    assert!(readers.is_reader(&first[0], |_| false), "it is no longer in the list");
}
