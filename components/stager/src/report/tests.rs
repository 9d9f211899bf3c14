use super::*;

fn ips(from: u8, count: u8) -> Vec<Ipv4Addr> {
    (from..from + count).map(|n| Ipv4Addr::new(10, 0, 0, n)).collect()
}

/// The number of endpoints that each gateway prefers.
fn shares(endpoints: u8, gateways: u8) -> Vec<usize> {
    let (endpoints, gateways) = (ips(1, endpoints), ips(100, gateways));
    let preferred_count = |gateway: &Ipv4Addr| {
        let prefers = |own_ip: &&Ipv4Addr| {
            preferring_gateways(**own_ip, &endpoints, gateways.clone()).contains(gateway)
        };
        endpoints.iter().filter(prefers).count()
    };
    gateways.iter().map(preferred_count).collect()
}

#[test]
fn gateways_of_a_zone_divide_its_endpoints_evenly() {
    assert_eq!(shares(9, 2), [5, 4]);
    assert_eq!(shares(3, 3), [1, 1, 1]);
    assert_eq!(shares(5, 1), [5]);
}

#[test]
fn with_more_gateways_than_endpoints_each_prefers_one() {
    assert_eq!(shares(2, 5), [1; 5]);
}

#[test]
fn an_endpoint_missing_from_the_fleet_is_preferred_by_all_gateways() {
    assert_eq!(
        preferring_gateways(Ipv4Addr::new(9, 9, 9, 9), &ips(1, 3), ips(100, 2)),
        ips(100, 2)
    );
    assert!(preferring_gateways(Ipv4Addr::new(10, 0, 0, 1), &ips(1, 3), Vec::new()).is_empty());
}
