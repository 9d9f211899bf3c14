use super::*;

fn member(zone: u8, host: u8) -> Member {
    Member { ip: Ipv4Addr::new(10, zone, 0, host), zone: format!("zone-{zone}") }
}

/// A fleet of `hosts` VMs in each of five zones, with the origin in `origin_zone`.
fn fleet(hosts: u8, origin_zone: &str) -> Fleet {
    let weights = FleetWeights {
        model: "m".to_owned(),
        pieces: 96,
        piece_bytes: 24_576,
        origin: None,
        origin_zone: Some(origin_zone.to_owned()),
    };
    let members = (1..=5).flat_map(|zone| (1..=hosts).map(move |host| member(zone, host)));
    Fleet { members: members.collect(), weights: Some(weights), ..Fleet::default() }
}

#[test]
fn a_stager_of_a_large_fleet_gets_its_own_zone_and_the_one_of_the_origin() {
    let part = fleet(40, "zone-3").for_zone("zone-5");
    assert_eq!(part.members.len(), 80);
    assert!(part.members.iter().all(|m| m.zone == "zone-3" || m.zone == "zone-5"));
    let elsewhere = fleet(40, "another").for_zone("zone-5");
    assert_eq!(elsewhere.origin_zone(), Some("zone-1"), "all zones agree on one of theirs");
    assert_eq!(elsewhere.members.len(), 80);
}

#[test]
fn a_small_fleet_is_sent_whole() {
    assert_eq!(fleet(3, "zone-1").for_zone("zone-5").members.len(), 15);
}

#[test]
fn gateways_that_know_the_same_fleet_announce_the_same_digest() {
    let mut other_order = fleet(40, "zone-3");
    other_order.members.reverse();
    other_order.members.push(member(5, 1));
    other_order.named = Some(NamedVersion { version: 2, age_ms: 70 });
    let digest = |fleet: Fleet| fleet.for_zone("zone-5").digest().unwrap();
    assert_eq!(digest(other_order.clone()), digest(fleet(40, "zone-3")));
    other_order.members.push(member(5, 200));
    assert_ne!(digest(other_order), digest(fleet(40, "zone-3")));
}
