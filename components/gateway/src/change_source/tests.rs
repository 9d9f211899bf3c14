use super::*;

const BOUND: Duration = Duration::from_secs(4);

fn gateways(count: u8) -> Vec<Ipv4Addr> {
    (1..=count).map(|host| Ipv4Addr::new(10, 0, 0, host)).collect()
}

fn selection(own_ip: Ipv4Addr) -> SourceSelection {
    SourceSelection::new(own_ip, "zone-1".parse().unwrap())
}

/// The source of each gateway of a zone in which all know each other.
fn sources(all: &[Ipv4Addr], now: Instant) -> HashMap<Ipv4Addr, ChangeSource> {
    all.iter().map(|ip| (*ip, selection(*ip).choose(all.iter().copied(), now))).collect()
}

fn readers(sources: &HashMap<Ipv4Addr, ChangeSource>) -> Vec<Ipv4Addr> {
    let reading = sources.iter().filter(|(_, source)| **source == ChangeSource::Store);
    reading.map(|(ip, _)| *ip).collect()
}

#[test]
fn a_zone_of_any_size_has_the_same_few_readers_and_all_others_learn_from_them() {
    let now = Instant::now();
    for count in [3, 12, 50] {
        let sources = sources(&gateways(count), now);
        let readers = readers(&sources);
        assert_eq!(readers.len(), READERS_PER_ZONE, "{count}");
        for source in sources.values() {
            if let ChangeSource::Gateway(ip) = source {
                assert!(readers.contains(ip));
            }
        }
    }
}

#[test]
fn a_gateway_that_knows_no_other_reads_the_store() {
    let ip = Ipv4Addr::new(10, 0, 0, 1);
    assert_eq!(selection(ip).choose([], Instant::now()), ChangeSource::Store);
}

#[test]
fn the_next_gateways_take_over_when_all_readers_fail_in_the_same_second() {
    let now = Instant::now();
    let all = gateways(12);
    let failed = readers(&sources(&all, now));
    let until = now + RelayTimes::for_bound(BOUND).failure_backoff;
    let mut taking_over = Vec::new();
    for ip in all.iter().filter(|ip| !failed.contains(ip)) {
        let mut selection = selection(*ip);
        // Each gateway asks until it finds one that answers, or reads the store itself.
        let mut asked = 0;
        let source = loop {
            match selection.choose(all.iter().copied(), now) {
                ChangeSource::Gateway(other) if failed.contains(&other) => {
                    selection.record_failure(other, until);
                    asked += 1;
                }
                source => break source,
            }
        };
        assert!(asked <= READERS_PER_ZONE, "{asked}");
        if source == ChangeSource::Store {
            taking_over.push(*ip);
        }
    }
    assert!((1..=READERS_PER_ZONE).contains(&taking_over.len()), "{taking_over:?}");
}

#[test]
fn a_reader_that_the_store_turns_away_learns_from_the_others_and_a_lone_gateway_tries_on() {
    let now = Instant::now();
    let all = gateways(12);
    let reader = readers(&sources(&all, now))[0];
    let mut selection = selection(reader);
    let until = now + Duration::from_secs(4);
    selection.record_failure(reader, until);
    assert!(matches!(selection.choose(all.iter().copied(), now), ChangeSource::Gateway(_)));
    assert_eq!(selection.choose([], now), ChangeSource::Store);
    assert_eq!(selection.choose(all.iter().copied(), until), ChangeSource::Store);
}

#[test]
fn a_reader_that_failed_is_asked_again_after_a_while() {
    let now = Instant::now();
    let all = gateways(12);
    let (ip, source) =
        sources(&all, now).into_iter().find(|(_, source)| *source != ChangeSource::Store).unwrap();
    let ChangeSource::Gateway(reader) = source else { unreachable!() };
    let mut selection = selection(ip);
    let until = now + Duration::from_secs(3);
    selection.record_failure(reader, until);
    assert_ne!(selection.choose(all.iter().copied(), now), source);
    assert_eq!(selection.choose(all.iter().copied(), until), source);
}

#[test]
fn a_change_is_known_within_the_bound_even_if_two_readers_fall_silent() {
    for bound in [Duration::from_secs(2), Duration::from_secs(4), Duration::from_secs(10)] {
        let times = RelayTimes::for_bound(bound);
        // Two readers that do not answer any more, and then a read of the store.
        assert!(times.relay_timeout * 2 < bound);
        // A reader that answers, but is itself cut off from the store.
        assert!(times.max_age + times.relay_wait < bound * 3 / 4);
        // The usual age of what a reader knows is not taken for a failure.
        assert!(times.store_wait + times.store_pause < times.max_age);
        assert!(times.relay_wait < times.relay_timeout);
    }
}
