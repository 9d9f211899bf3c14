use super::*;

const BOUND: Duration = Duration::from_secs(4);

fn gateways(count: u8) -> Vec<Ipv4Addr> {
    (1..=count).map(|host| Ipv4Addr::new(10, 0, 0, host)).collect()
}

fn selection(own_ip: Ipv4Addr) -> SourceSelection {
    let times = SourceTimes::for_bound(BOUND);
    SourceSelection::new(own_ip, "zone-1".parse().unwrap(), times)
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
fn gateways_read_the_store_when_readers_fail_in_the_same_second_and_then_agree_on_new_ones() {
    let start = Instant::now();
    let times = SourceTimes::for_bound(BOUND);
    let all = gateways(12);
    let mut failed: Vec<Ipv4Addr> = Vec::new();
    // The gateways that would read are cut off, one after the other, and stay known.
    for _ in 0..4 {
        let live = all.iter().copied().filter(|ip| !failed.contains(ip));
        failed.extend(readers(&sources(&live.collect::<Vec<_>>(), start)));
    }
    let mut final_sources = HashMap::new();
    for ip in all.iter().filter(|ip| !failed.contains(ip)) {
        let mut selection = selection(*ip);
        let mut now = start;
        // Time since a source that answers was last used.
        let mut learned_at = start;
        while now < start + 7 * BOUND {
            match selection.choose(all.iter().copied(), now) {
                ChangeSource::Gateway(other) if failed.contains(&other) => {
                    now += times.relay_timeout;
                    selection.record_failure(other, now);
                }
                source => {
                    assert!(now - learned_at <= times.relay_timeout, "{ip}: {:?}", now - start);
                    now += times.relay_wait;
                    learned_at = now;
                    final_sources.insert(*ip, source);
                }
            }
        }
    }
    let readers = readers(&final_sources);
    assert!(readers.len() <= 2, "few read the store in the end: {readers:?}");
}

#[test]
fn a_reader_that_the_store_turns_away_learns_from_the_others_and_a_lone_gateway_tries_on() {
    let now = Instant::now();
    let all = gateways(12);
    let reader = readers(&sources(&all, now))[0];
    let mut selection = selection(reader);
    selection.record_store_failure(now);
    assert!(matches!(selection.choose(all.iter().copied(), now), ChangeSource::Gateway(_)));
    assert_eq!(selection.choose([], now), ChangeSource::Store);
    let later = now + SourceTimes::for_bound(BOUND).direct_time;
    assert_eq!(selection.choose(all.iter().copied(), later), ChangeSource::Store);
}

#[test]
fn a_gateway_that_the_store_turns_away_finds_the_only_one_that_reaches_it() {
    let all = gateways(12);
    let own_ip = all[0];
    for reaching in &all[1..] {
        let mut now = Instant::now();
        let mut selection = selection(own_ip);
        // All gateways failed before, each in its turn.
        all[1..].iter().for_each(|ip| selection.record_failure(*ip, now));
        let mut steps = 0;
        loop {
            match selection.choose(all.iter().copied(), now) {
                ChangeSource::Store => selection.record_store_failure(now),
                ChangeSource::Gateway(ip) if ip == *reaching => break,
                ChangeSource::Gateway(ip) => selection.record_failure(ip, now),
            }
            now += Duration::from_millis(10);
            steps += 1;
            assert!(steps < 2 * all.len() + 2, "{reaching} is not found");
        }
    }
}

#[test]
fn a_reader_that_failed_is_asked_again_after_a_while() {
    let now = Instant::now();
    let all = gateways(12);
    let (ip, source) =
        sources(&all, now).into_iter().find(|(_, source)| *source != ChangeSource::Store).unwrap();
    let ChangeSource::Gateway(reader) = source else { unreachable!() };
    let times = SourceTimes::for_bound(BOUND);
    let mut selection = selection(ip);
    selection.record_failure(reader, now);
    assert_eq!(selection.choose(all.iter().copied(), now), ChangeSource::Store);
    let next = selection.choose(all.iter().copied(), now + times.direct_time);
    assert_ne!(next, source, "others are asked first");
    assert_eq!(selection.choose(all.iter().copied(), now + times.failure_backoff), source);
}

#[test]
fn a_change_is_known_within_the_bound_even_if_two_readers_fall_silent() {
    for bound in [Duration::from_secs(2), Duration::from_secs(4), Duration::from_secs(10)] {
        let times = SourceTimes::for_bound(bound);
        // Two readers that do not answer any more, and then a read of the store.
        assert!(times.relay_timeout * 2 < bound);
        // A reader that answers, but is itself cut off from the store.
        assert!(times.max_age + times.relay_wait < bound * 3 / 4);
        // The usual age of what a reader knows is not taken for a failure.
        assert!(times.store_wait + times.store_pause < times.max_age);
        assert!(times.relay_wait < times.relay_timeout);
    }
}

/// Bounds from the shortest that is observed up to a minute.
const BOUNDS_MS: [u64; 7] = [500, 1000, 2000, 3000, 4000, 10_000, 60_000];
/// Part of a bound that is left for answers themselves.
const ANSWER_FRACTION: u32 = 8;

/// Guards against limits that are each shorter than the bound and together longer: a change that is
/// written just after an answer, while the next one is lost.
#[test]
fn a_lost_answer_of_the_store_is_missed_in_time_whatever_precedes_and_follows() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        let times = SourceTimes::for_bound(bound);
        assert!(times.store_wait + times.store_grace <= times.store_limit);
        let series = times.store_pause + times.store_limit + times.retry_delay;
        assert!(series + bound / ANSWER_FRACTION <= bound, "{bound:?}: {series:?}");
    }
}

/// Guards against the same at a gateway that learns from another one, which the store does not answer,
/// or which does not answer itself; and in the middle of a large answer.
#[test]
fn what_a_gateway_does_not_tell_is_learned_from_the_store_in_time() {
    for bound in BOUNDS_MS.map(Duration::from_millis) {
        let times = SourceTimes::for_bound(bound);
        let left = bound - bound / ANSWER_FRACTION;
        assert!(times.max_age + times.relay_wait <= left, "the store does not answer it");
        assert!(times.store_pause + times.relay_timeout + times.store_grace <= left, "silent");
        assert!(times.store_pause + times.stall + times.retry_delay <= left, "answer cut short");
    }
}
