use super::*;

const TIME_LIMIT: Duration = Duration::from_secs(8);

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn peer(n: u8) -> PeerStatus {
    PeerStatus { ip: ip(n), loading: false, updated: false, staged: true }
}

/// The last octets of the endpoints of a zone that may load.
fn may_load_ids(peers: &[PeerStatus], age: Duration) -> Vec<u8> {
    let waiting = peers.iter().filter(|p| p.staged && !p.loading && !p.updated);
    let permitted = waiting.filter(|own| {
        let others: Vec<PeerStatus> = peers.iter().filter(|p| p.ip != own.ip).copied().collect();
        may_load(&LoadSettings::default(), own.ip, &others, age, TIME_LIMIT, false)
    });
    permitted.map(|p| p.ip.octets()[3]).collect()
}

#[test]
fn a_fraction_of_a_zone_loads_at_a_time() {
    let mut peers: Vec<PeerStatus> = (1..=8).map(peer).collect();
    assert_eq!(may_load_ids(&peers, Duration::ZERO), [1, 2]);
    peers[0].loading = true;
    assert_eq!(may_load_ids(&peers, Duration::ZERO), [2]);
    peers[0] = PeerStatus { updated: true, loading: false, ..peers[0] };
    assert_eq!(may_load_ids(&peers, Duration::ZERO), [2, 3]);
}

#[test]
fn more_endpoints_load_at_a_time_close_to_the_time_limit() {
    let peers: Vec<PeerStatus> = (1..=8).map(peer).collect();
    // 8 endpoints that take 1.5 s each have 3 s left.
    assert_eq!(may_load_ids(&peers, Duration::from_millis(4500)), [1, 2, 3, 4]);
}

#[test]
fn an_endpoint_without_staged_weights_does_not_delay_others() {
    let mut peers: Vec<PeerStatus> = (1..=3).map(peer).collect();
    peers[0].staged = false;
    peers[1].staged = false;
    assert_eq!(may_load_ids(&peers, Duration::ZERO), [3]);
}

#[test]
fn all_endpoints_load_just_before_the_time_limit() {
    let mut peers: Vec<PeerStatus> = (1..=3).map(peer).collect();
    peers[0].loading = true;
    peers[1].loading = true;
    assert_eq!(may_load_ids(&peers, Duration::from_secs(1)), [0u8; 0]);
    assert_eq!(may_load_ids(&peers, Duration::from_secs(6)), [3]);
    peers.iter_mut().for_each(|p| p.loading = false);
    assert_eq!(may_load_ids(&peers, Duration::from_secs(6)), [1, 2, 3]);
}

/// Guards against endpoints that wait for news of their neighbours while gateways use no older weights.
#[test]
fn a_load_is_urgent_once_no_turn_is_kept() {
    let settings = LoadSettings::default();
    let urgent_from = TIME_LIMIT - settings.deadline_margin - settings.load_duration;
    assert!(is_urgent(&settings, urgent_from, TIME_LIMIT));
    assert!(!is_urgent(&settings, urgent_from - Duration::from_millis(1), TIME_LIMIT));
}

#[test]
fn the_only_endpoint_of_a_zone_loads_immediately() {
    assert!(may_load(&LoadSettings::default(), ip(1), &[], Duration::ZERO, TIME_LIMIT, false));
}

#[test]
fn a_smaller_fraction_loads_at_a_time_if_requests_are_interrupted() {
    let peers: Vec<PeerStatus> = (2..=9).map(peer).collect();
    let is_permitted = |own: u8, age| {
        may_load(
            &LoadSettings::default(),
            ip(own),
            &peers,
            Duration::from_secs(age),
            TIME_LIMIT,
            true,
        )
    };
    assert!(is_permitted(1, 5));
    assert!(!is_permitted(4, 5));
    assert!(is_permitted(4, 7), "all load just before the time limit");
}
