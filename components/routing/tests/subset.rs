//! Subsets are balanced, cover zones, and change little when a VM is added or removed.

use std::collections::{BTreeMap, BTreeSet, HashSet};

use base::{VmId, Zone};
use routing::{ZonedVm, subset};

fn vms(name: &str, count: usize, zones: usize) -> Vec<ZonedVm> {
    let vm = |i: usize| ZonedVm {
        vm: format!("{name}-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % zones).parse().unwrap(),
    };
    (0..count).map(vm).collect()
}

type Pairs = BTreeSet<(VmId, VmId)>;

/// All pairs of an entry and an endpoint that it uses.
fn pairs(entries: &[ZonedVm], endpoints: &[ZonedVm], size: usize) -> Pairs {
    let pairs_of = |entry: &ZonedVm| {
        let chosen = subset(&entry.vm, entries, endpoints, size);
        chosen.into_iter().map(|e| (entry.vm.clone(), e.vm)).collect::<Vec<_>>()
    };
    entries.iter().flat_map(pairs_of).collect()
}

fn count<'a>(ids: impl Iterator<Item = &'a VmId>) -> BTreeMap<&'a VmId, usize> {
    let mut counts = BTreeMap::new();
    for id in ids {
        *counts.entry(id).or_default() += 1;
    }
    counts
}

#[test]
fn few_endpoints_are_all_used() {
    let (entries, endpoints) = (vms("entry", 3, 3), vms("model", 16, 3));
    let chosen = subset(&entries[0].vm, &entries, &endpoints, 16);
    assert_eq!(chosen.len(), 16);
}

#[test]
fn each_endpoint_has_the_same_number_of_entries() {
    let (entries, endpoints) = (vms("entry", 40, 4), vms("model", 400, 4));
    let pairs = pairs(&entries, &endpoints, 32);
    let by_endpoint = count(pairs.iter().map(|(_, endpoint)| endpoint));
    assert_eq!(by_endpoint.len(), endpoints.len());
    let each: HashSet<usize> = by_endpoint.into_values().collect();
    assert_eq!(each, HashSet::from([3]));
}

#[test]
fn no_entry_has_many_more_endpoints_than_another() {
    let (entries, endpoints) = (vms("entry", 40, 4), vms("model", 400, 4));
    let pairs = pairs(&entries, &endpoints, 32);
    let by_entry = count(pairs.iter().map(|(entry, _)| entry));
    assert_eq!(by_entry.len(), entries.len());
    let (least, most) = (by_entry.values().min().unwrap(), by_entry.values().max().unwrap());
    assert!(*most <= 36, "{most}");
    assert!(*least >= 15, "{least}");
}

#[test]
fn subsets_cover_the_own_zone_and_others() {
    let (entries, endpoints) = (vms("entry", 40, 4), vms("model", 400, 4));
    for entry in &entries {
        let chosen = subset(&entry.vm, &entries, &endpoints, 32);
        let zones: HashSet<&Zone> = chosen.iter().map(|e| &e.zone).collect();
        let local = chosen.iter().filter(|e| e.zone == entry.zone).count();
        assert!(zones.len() >= 3, "{zones:?}");
        assert!(local * 3 >= chosen.len(), "{local} of {}", chosen.len());
    }
}

#[test]
fn a_change_of_one_vm_moves_few_pairs() {
    let (entries, endpoints) = (vms("entry", 40, 4), vms("model", 400, 4));
    let before = pairs(&entries, &endpoints, 32);
    let without_endpoint = pairs(&entries, &endpoints[1..], 32);
    let moved = before.difference(&without_endpoint).count();
    assert!(moved <= before.len() / 50, "{moved} of {} for an endpoint", before.len());
    let without_entry = pairs(&entries[1..], &endpoints, 32);
    let moved = before.difference(&without_entry).count();
    assert!(moved <= before.len() / 8, "{moved} of {} for an entry", before.len());
}
