use super::*;

const BOUNDS: [Duration; 3] =
    [Duration::from_secs(2), Duration::from_secs(4), Duration::from_secs(10)];

/// Calls a store whose answers take `time` until one arrives. Returns the time of all calls.
fn time_until_answered(
    patience: &mut StorePatience,
    time: Duration,
    times: &SourceTimes,
) -> Duration {
    let mut elapsed = Duration::ZERO;
    while time > patience.grace() {
        elapsed += patience.grace() + times.retry_delay;
        patience.record_timeout(times);
    }
    patience.record_answer(time, times);
    elapsed + time
}

/// Guards against a slow store that is taken for a silent one for as long as it is slow.
#[test]
fn a_slow_store_is_heard_within_the_bound_and_then_each_time() {
    for bound in BOUNDS {
        let times = SourceTimes::for_bound(bound);
        for percent in 0..=50 {
            let time = bound * percent / 100;
            let mut patience = StorePatience::new(&times);
            assert!(
                time_until_answered(&mut patience, time, &times) <= bound,
                "{bound:?} {time:?}"
            );
            assert_eq!(time_until_answered(&mut patience, time, &times), time);
        }
    }
}

#[test]
fn a_watch_ends_within_its_limit_whatever_the_store_took_before() {
    let times = SourceTimes::for_bound(BOUNDS[0]);
    let mut patience = StorePatience::new(&times);
    assert_eq!(patience.wait(&times), times.store_wait);
    for ms in [0, 300, 800, 5000, 1] {
        patience.record_answer(Duration::from_millis(ms), &times);
        assert!(patience.wait(&times) + patience.grace() <= times.store_limit);
    }
    assert_eq!(patience.wait(&times), times.store_wait);
}

#[test]
fn a_silent_store_is_asked_with_short_and_long_graces_by_turns() {
    let times = SourceTimes::for_bound(BOUNDS[0]);
    let mut patience = StorePatience::new(&times);
    for expected in [times.store_grace, times.max_grace, times.store_grace, times.max_grace] {
        assert_eq!(patience.grace(), expected);
        patience.record_timeout(&times);
    }
}

/// Guards against a gateway that reads the whole store anew and waits longer for a lost page than what
/// it knows may age, and against one that starts and never hears a slow store.
#[test]
fn a_lost_page_is_missed_early_and_a_slow_one_is_waited_for() {
    for bound in BOUNDS {
        let times = SourceTimes::for_bound(bound);
        let mut patience = StorePatience::new(&times);
        assert!(patience.read_grace(&times) + times.retry_delay <= bound / 2);
        patience.record_timeout(&times);
        assert!(patience.read_grace(&times) >= MIN_LONG_READ_GRACE.max(times.max_grace));
        patience.record_timeout(&times);
        assert!(patience.read_grace(&times) + times.retry_delay <= bound / 2);
    }
}
