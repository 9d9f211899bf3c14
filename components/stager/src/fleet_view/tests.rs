use peering::Member;

use super::*;

fn fleet(hosts: u8) -> Fleet {
    let member = |zone: u8, host| Member {
        ip: Ipv4Addr::new(10, zone, 0, host),
        zone: format!("zone-{zone}"),
    };
    let members = (1..=5).flat_map(|zone| (1..=hosts).rev().map(move |host| member(zone, host)));
    Fleet { members: members.collect(), resumable: true, ..Fleet::default() }
}

fn ips(zone: u8, hosts: impl IntoIterator<Item = u8>) -> Vec<Ipv4Addr> {
    hosts.into_iter().map(|host| Ipv4Addr::new(10, zone, 0, host)).collect()
}

#[test]
fn a_view_is_bounded_by_the_zone_and_the_one_that_reads_the_origin() {
    let view = FleetView::new(fleet(100), "zone-4").unwrap();
    assert_eq!(view.zone_members, ips(4, 1..=100));
    assert_eq!(view.origin_zone_members, ips(1, 1..=100));
    assert_eq!(view.member_count, 200);
    let origin = FleetView::new(fleet(100), "zone-1").unwrap();
    assert!(origin.origin_zone_members.is_empty());
}

#[test]
fn neighbours_follow_in_the_order_of_addresses_and_start_over() {
    let view = FleetView::new(fleet(5), "zone-2").unwrap();
    let successors: Vec<Ipv4Addr> = view.successors(Ipv4Addr::new(10, 2, 0, 4)).collect();
    assert_eq!(successors, ips(2, [5, 1, 2, 3]));
    let unlisted: Vec<Ipv4Addr> = view.successors(Ipv4Addr::new(10, 2, 0, 9)).collect();
    assert_eq!(unlisted, ips(2, [1, 2, 3, 4, 5]));
}
