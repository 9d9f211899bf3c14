use super::*;

fn bounds(drain_ms: u64, config_ms: u64) -> Bounds {
    Bounds {
        drain_time: Duration::from_millis(drain_ms),
        config_propagation: Duration::from_millis(config_ms),
        ..Bounds::default()
    }
}

/// Guards against times that follow from one bound where the other one is shorter.
#[test]
fn changes_must_be_known_within_the_shorter_of_the_two_bounds() {
    for (drain, config, expected) in [(2000, 4000, 2000), (4000, 2000, 2000), (3000, 3000, 3000)] {
        let bound = bounds(drain, config).change_bound();
        assert_eq!(bound, Duration::from_millis(expected));
    }
}

/// Guards against an evacuation that is learned too late, as its bound is shorter than the others; a
/// longer one, or none, changes nothing.
#[test]
fn an_evacuation_must_be_known_within_its_own_bound() {
    for (evacuation, expected) in [(None, 2000), (Some(5000), 2000), (Some(1000), 1000)] {
        let evacuation = evacuation.map(Duration::from_millis);
        let bound = Bounds { evacuation, ..bounds(2000, 3000) }.change_bound();
        assert_eq!(bound, Duration::from_millis(expected));
    }
}

/// Guards against a process that asks without a pause, as its settings name a bound of zero.
#[test]
fn a_bound_of_zero_is_not_taken_at_its_word() {
    assert!(bounds(0, 4000).change_bound() >= MIN_CHANGE_BOUND);
}
