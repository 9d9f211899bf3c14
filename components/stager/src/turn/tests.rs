use super::*;

const BOUND: Duration = Duration::from_secs(8);

fn ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, n)
}

fn peer(n: u8) -> Peer {
    Peer { ip: ip(n), loading: false, through: false, staged: true }
}

/// The endpoints of a zone that may load.
fn open(peers: &[Peer], age: Duration) -> Vec<u8> {
    let waits = peers.iter().filter(|p| p.staged && !p.loading && !p.through);
    let may = waits.filter(|me| {
        let others: Vec<Peer> = peers.iter().filter(|p| p.ip != me.ip).copied().collect();
        may_load(&TurnSettings::default(), me.ip, &others, age, BOUND, false)
    });
    may.map(|p| p.ip.octets()[3]).collect()
}

#[test]
fn a_part_of_a_zone_loads_at_a_time() {
    let mut peers: Vec<Peer> = (1..=8).map(peer).collect();
    assert_eq!(open(&peers, Duration::ZERO), [1, 2]);
    peers[0].loading = true;
    assert_eq!(open(&peers, Duration::ZERO), [2]);
    peers[0] = Peer { through: true, loading: false, ..peers[0] };
    assert_eq!(open(&peers, Duration::ZERO), [2, 3]);
}

#[test]
fn more_load_at_a_time_when_the_bound_is_near() {
    let peers: Vec<Peer> = (1..=8).map(peer).collect();
    // 8 endpoints that take 1.5 s each have 3 s left.
    assert_eq!(open(&peers, Duration::from_millis(4500)), [1, 2, 3, 4]);
}

#[test]
fn one_that_has_not_staged_the_weights_holds_up_nobody() {
    let mut peers: Vec<Peer> = (1..=3).map(peer).collect();
    peers[0].staged = false;
    peers[1].staged = false;
    assert_eq!(open(&peers, Duration::ZERO), [3]);
}

#[test]
fn near_the_bound_all_load() {
    let mut peers: Vec<Peer> = (1..=3).map(peer).collect();
    peers[0].loading = true;
    peers[1].loading = true;
    assert_eq!(open(&peers, Duration::from_secs(1)), [0u8; 0]);
    assert_eq!(open(&peers, Duration::from_secs(6)), [3]);
    peers.iter_mut().for_each(|p| p.loading = false);
    assert_eq!(open(&peers, Duration::from_secs(6)), [1, 2, 3]);
}

#[test]
fn an_endpoint_alone_in_its_zone_loads_at_once() {
    assert!(may_load(&TurnSettings::default(), ip(1), &[], Duration::ZERO, BOUND, false));
}

#[test]
fn a_smaller_part_loads_at_a_time_where_streams_break_off() {
    let peers: Vec<Peer> = (2..=9).map(peer).collect();
    let open = |me: u8, age| {
        may_load(&TurnSettings::default(), ip(me), &peers, Duration::from_secs(age), BOUND, true)
    };
    assert!(open(1, 5));
    assert!(!open(4, 5));
    assert!(open(4, 7), "near the bound all load");
}
