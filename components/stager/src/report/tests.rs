use super::*;

fn ips(from: u8, count: u8) -> Vec<Ipv4Addr> {
    (from..from + count).map(|n| Ipv4Addr::new(10, 0, 0, n)).collect()
}

/// The number of endpoints that each entry sends requests to first.
fn shares(endpoints: u8, entries: u8) -> Vec<usize> {
    let (endpoints, entries) = (ips(1, endpoints), ips(100, entries));
    let of = |entry: &Ipv4Addr| {
        let mine = |me: &&Ipv4Addr| homes(**me, &endpoints, entries.clone()).contains(entry);
        endpoints.iter().filter(mine).count()
    };
    entries.iter().map(of).collect()
}

#[test]
fn entries_share_the_endpoints_of_a_zone_out() {
    assert_eq!(shares(9, 2), [5, 4]);
    assert_eq!(shares(3, 3), [1, 1, 1]);
    assert_eq!(shares(5, 1), [5]);
}

#[test]
fn each_of_more_entries_than_endpoints_has_one() {
    assert_eq!(shares(2, 5), [1; 5]);
}

#[test]
fn an_endpoint_that_is_not_listed_yet_is_at_home_everywhere() {
    assert_eq!(homes(Ipv4Addr::new(9, 9, 9, 9), &ips(1, 3), ips(100, 2)), ips(100, 2));
    assert!(homes(Ipv4Addr::new(10, 0, 0, 1), &ips(1, 3), Vec::new()).is_empty());
}
