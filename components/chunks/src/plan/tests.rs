use std::collections::HashSet;

use super::*;

fn locations(count: usize, zones: usize) -> Vec<VmLocation> {
    let location = |i: usize| VmLocation {
        vm: format!("vm-{i}").parse().unwrap(),
        zone: format!("zone-{}", i % zones).parse().unwrap(),
        region: format!("region-{}", i % zones / 2).parse().unwrap(),
    };
    (0..count).map(location).collect()
}

fn plans(count: usize, zones: usize) -> Vec<Plan> {
    let locations = locations(count, zones);
    let list = Digest::of(b"list");
    locations.iter().map(|location| Plan::new(&list, &locations, &location.vm)).collect()
}

#[test]
fn each_chunk_reaches_every_vm_once() {
    for (count, zones) in [(1, 1), (2, 2), (13, 1), (64, 4), (31, 5), (64, 19)] {
        let plans = plans(count, zones);
        for chunk in 0..count as u32 * 2 {
            let mut reached = HashSet::new();
            for plan in &plans {
                let me = &plan.ring[plan.own_index.unwrap()].vm;
                for child in plan.children(chunk) {
                    assert!(reached.insert(child.clone()), "{child} has two parents");
                    let child_plan =
                        plans.iter().find(|p| p.ring[p.own_index.unwrap()].vm == *child);
                    assert_eq!(child_plan.unwrap().parent(chunk), Some(me));
                }
            }
            assert_eq!(reached.len(), count - 1);
        }
    }
}

#[test]
fn each_chunk_has_one_owner_and_ownership_is_balanced() {
    for plan in plans(16, 3) {
        let owned = (0..64).filter(|&c| plan.rank(c) == Some(0)).count();
        assert_eq!(owned, 4);
    }
}

#[test]
fn a_chunk_enters_each_zone_and_region_once() {
    let plans = plans(48, 6);
    for chunk in 0..48 {
        let count_from = |locality| {
            let crossing = |plan: &&Plan| {
                plan.parent(chunk).is_some_and(|parent| plan.locality(parent) == Some(locality))
            };
            plans.iter().filter(crossing).count()
        };
        assert_eq!(count_from(Locality::Remote), 2);
        assert_eq!(count_from(Locality::Region), 3);
    }
}

#[test]
fn a_vm_talks_to_few_others() {
    for (count, zones) in [(64, 4), (560, 19), (560, 1)] {
        let locations = locations(count, zones);
        let plan = Plan::new(&Digest::of(b"list"), &locations, &locations[7].vm);
        let mut others: HashSet<VmId> = plan.neighbours().into_iter().collect();
        for chunk in 0..2000 {
            others.extend(plan.children(chunk).into_iter().cloned());
            others.extend(plan.parent(chunk).cloned());
        }
        assert!(others.len() <= 64, "{} of {count} in {zones} zones", others.len());
    }
}

#[test]
fn neighbours_are_mutual() {
    for plan in plans(64, 4) {
        let me = &plan.ring[plan.own_index.unwrap()].vm;
        for neighbour in plan.neighbours() {
            let other =
                plans(64, 4).into_iter().find(|p| p.ring[p.own_index.unwrap()].vm == neighbour);
            assert!(other.unwrap().neighbours().contains(me));
        }
    }
}

#[test]
fn takeover_ranks_are_distinct_and_the_chunks_of_an_owner_go_to_different_vms() {
    let plans = plans(8, 2);
    let mut seconds = HashSet::new();
    for chunk in [3, 11, 19, 27] {
        let ranks: HashSet<usize> =
            plans.iter().filter_map(|plan| plan.takeover_rank(chunk)).collect();
        assert_eq!(ranks.len(), 8);
        let second = plans.iter().position(|plan| plan.takeover_rank(chunk) == Some(1));
        assert!(seconds.insert(second));
    }
}

#[test]
fn upload_load_is_balanced_for_any_number_of_chunks() {
    for (count, zones, chunks) in [(64, 4, 128), (96, 4, 128), (100, 1, 128), (48, 6, 200)] {
        let sent = |plan: &Plan| (0..chunks).map(|c| plan.children(c).len()).sum::<usize>();
        let most = plans(count, zones).iter().map(sent).max().unwrap();
        assert!(most * 100 <= chunks as usize * 140, "{most} of {chunks} by one of {count}");
    }
}
