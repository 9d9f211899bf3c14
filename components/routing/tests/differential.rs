//! Checks the assignment of subsets against its definition, counted over all entries.

use std::collections::HashMap;

use base::VmId;
use quickcheck::{Arbitrary, Gen};
use routing::{ZonedVm, subset};

const CASES: u64 = 60;

fn zoned_vms(name: &str, count: usize, zones: usize, g: &mut Gen) -> Vec<ZonedVm> {
    (0..count)
        .map(|i| ZonedVm {
            vm: format!("{name}-{i}").parse().unwrap(),
            zone: format!("zone-{}", usize::arbitrary(g) % zones).parse().unwrap(),
        })
        .collect()
}

#[test]
fn every_endpoint_has_its_entries_and_no_entry_has_many_more() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut below = |n: usize| usize::arbitrary(&mut g) % n;
        let (entry_count, endpoint_count) = (1 + below(12), 1 + below(60));
        let (size, zones) = (1 + below(20), 1 + below(4));
        let entries = zoned_vms("entry", entry_count, zones, &mut g);
        let endpoints = zoned_vms("vm", endpoint_count, zones, &mut g);
        let mut users: HashMap<VmId, usize> = HashMap::new();
        let mut most = 0;
        for entry in &entries {
            let chosen = subset(&entry.vm, &entries, &endpoints, size);
            most = most.max(chosen.len());
            for endpoint in &chosen {
                *users.entry(endpoint.vm.clone()).or_default() += 1;
            }
        }
        let each = match endpoint_count <= size {
            true => entry_count,
            false => (entry_count * size / endpoint_count).clamp(1, entry_count),
        };
        assert_eq!(users.len(), endpoint_count, "seed {seed}: an endpoint has no entry");
        assert!(users.values().all(|count| *count == each), "seed {seed}: {users:?}");
        let mean = (each * endpoint_count) as f64 / entry_count as f64;
        // Two endpoints above the maximum load are allowed: an endpoint may find all entries of a
        // ring full.
        assert!(most as f64 <= (mean * 1.2).ceil() + 2.0, "seed {seed}: {most} of {mean}");
    }
}

#[test]
fn the_order_of_the_lists_does_not_matter() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut entries = zoned_vms("entry", 5, 3, &mut g);
        let mut endpoints = zoned_vms("vm", 40, 3, &mut g);
        let names = |chosen: Vec<ZonedVm>| {
            let mut names: Vec<VmId> = chosen.into_iter().map(|p| p.vm).collect();
            names.sort();
            names
        };
        let me = entries[0].vm.clone();
        let before = names(subset(&me, &entries, &endpoints, 10));
        entries.reverse();
        endpoints.reverse();
        assert_eq!(names(subset(&me, &entries, &endpoints, 10)), before, "seed {seed}");
    }
}
