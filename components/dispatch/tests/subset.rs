//! Large fleets: each process follows a bounded subset of the engines.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::{
    Endpoint, EndpointId, EndpointState, EndpointUpdate, EngineProfile, HeldWeights, WeightsVersion,
};
use dispatch::{DispatchSettings, Dispatcher, SubsetSettings};

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn zone(n: usize) -> Zone {
    format!("zone-{n}").parse().unwrap()
}

fn profile() -> EngineProfile {
    EngineProfile { slots: 8, ..common::profile() }
}

fn engine(zone_number: usize, n: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{zone_number}-{n}").parse().unwrap(),
        service: service(),
        addr: format!("10.{zone_number}.{}.{}:80", n / 250, n % 250 + 1).parse().unwrap(),
        zone: zone(zone_number),
        slots: 8,
        state: EndpointState::Ready,
        started_at_ms: Some(1),
        cold_time: Duration::ZERO,
        held: vec![HeldWeights { model: "m".parse().unwrap(), version: WeightsVersion(1) }],
        serves_model: true,
    }
}

/// The engines that a process in `own_zone` follows of a fleet with `engines` in each zone.
fn followed(
    name: &str,
    own_zone: usize,
    zones: usize,
    engines: usize,
    processes: usize,
) -> Vec<EndpointId> {
    let now = Instant::now();
    let regions = (0..zones).map(|n| (zone(n), format!("region-{n}").parse().unwrap()));
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone(own_zone), regions);
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    for (zone_number, n) in (0..zones).flat_map(|z| (0..engines).map(move |n| (z, n))) {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(zone_number, n)), now);
    }
    dispatcher.update_subset(name, processes);
    dispatcher.followed_endpoints().map(|endpoint| endpoint.id.clone()).collect()
}

fn in_zone(ids: &[EndpointId], zone_number: usize) -> usize {
    let prefix = format!("i-{zone_number}-");
    ids.iter().filter(|id| id.as_str().starts_with(&prefix)).count()
}

#[test]
fn a_small_fleet_is_followed_whole() {
    assert_eq!(followed("vm-1", 0, 3, 9, 2).len(), 27);
    assert_eq!(followed("vm-1", 0, 2, 30, 2).len(), 60);
}

#[test]
fn a_process_of_a_large_fleet_follows_its_zone_and_some_of_each_other_zone() {
    let ids = followed("vm-1", 2, 5, 53, 11);
    assert_eq!(in_zone(&ids, 2), 53);
    for other in [0, 1, 3, 4] {
        assert_eq!(in_zone(&ids, other), 6, "{other}");
    }
}

#[test]
fn a_zone_without_engines_uses_more_of_the_others() {
    let ids = followed("vm-1", 7, 4, 100, 10);
    assert_eq!(ids.len(), SubsetSettings::default().size);
}

#[test]
fn the_subset_of_a_very_large_fleet_is_bounded_and_covers_all_engines() {
    let (engines, processes) = (630, 50);
    let mut covered: HashMap<EndpointId, usize> = HashMap::new();
    for n in 0..processes {
        let ids = followed(&format!("vm-{n}"), 0, 2, engines, processes);
        assert!(ids.len() <= 101 + 24, "{}", ids.len());
        ids.into_iter().for_each(|id| *covered.entry(id).or_default() += 1);
    }
    let zone_covered = covered.keys().filter(|id| id.as_str().starts_with("i-0-")).count();
    assert_eq!(zone_covered, engines, "each engine has a process that sends it requests");
}

#[test]
fn few_engines_move_when_the_fleet_grows() {
    let before = followed("vm-1", 0, 5, 100, 10);
    let after = followed("vm-1", 0, 5, 110, 10);
    let lost = before.iter().filter(|id| !after.contains(id)).count();
    assert!(lost <= before.len() / 4, "{lost} of {}", before.len());
}

#[test]
fn engines_that_are_not_followed_get_no_requests_and_new_ones_may() {
    let now = Instant::now();
    let settings = DispatchSettings {
        subset: SubsetSettings { size: 2, remote_size: 0, home_size: 0, coverage: 0 },
        ..DispatchSettings::default()
    };
    let mut dispatcher = Dispatcher::new(settings, zone(0), []);
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    for n in 0..10 {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(0, n)), now);
    }
    assert_eq!(dispatcher.followed_endpoints().count(), 10, "until the subset is chosen");
    dispatcher.update_subset("vm-1", 1);
    assert_eq!(dispatcher.followed_endpoints().count(), 2);
}

/// Guards against requests that are bound to a region and refused, as this process follows none of its
/// engines.
#[test]
fn a_region_to_which_requests_are_bound_has_followed_engines() {
    let now = Instant::now();
    let settings = DispatchSettings {
        subset: SubsetSettings { size: 4, remote_size: 0, home_size: 3, coverage: 0 },
        ..DispatchSettings::default()
    };
    let regions = (0..3).map(|n| (zone(n), format!("region-{n}").parse().unwrap()));
    let mut dispatcher = Dispatcher::new(settings, zone(0), regions);
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    for n in 0..30 {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(n % 3, n)), now);
    }
    let count = |dispatcher: &Dispatcher, n| {
        dispatcher.followed_endpoints().filter(|endpoint| endpoint.zone == zone(n)).count()
    };
    dispatcher.update_subset("vm-1", 1);
    assert_eq!([0, 1, 2].map(|n| count(&dispatcher, n)), [4, 0, 0]);
    dispatcher.set_home_regions(["region-0", "region-2"].map(|r| r.parse().unwrap()).into());
    dispatcher.update_subset("vm-1", 1);
    assert_eq!([0, 1, 2].map(|n| count(&dispatcher, n)), [4, 0, 3]);
}
