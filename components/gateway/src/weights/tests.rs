use super::*;

/// 1.5 s of 8 s.
const MARGIN: f64 = 1.5 / 8.0;

fn model() -> ModelId {
    "m".parse().unwrap()
}

#[test]
fn older_weights_may_be_used_until_shortly_before_the_bound() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let at = start + Duration::from_secs(20);
    assert!(named.record(&model(), WeightsVersion(2), NamingTime::NotBefore(at)));
    assert!(!named.record(&model(), WeightsVersion(1), NamingTime::NotBefore(at)));
    let from = at + Duration::from_millis(6500);
    assert_eq!(
        named.required(&model()),
        [VersionRequirement {
            version: WeightsVersion(2),
            effective_at: from,
            last_start: from + Duration::from_millis(600),
        }]
    );
}

#[test]
fn a_newer_version_does_not_postpone_an_older_requirement() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let seconds = |s| start + Duration::from_secs(s);
    named.record(&model(), WeightsVersion(2), NamingTime::NotBefore(seconds(18)));
    named.record(&model(), WeightsVersion(3), NamingTime::NotBefore(seconds(21)));
    let due: Vec<Instant> = named.required(&model()).iter().map(|r| r.effective_at).collect();
    let early = Duration::from_millis(500);
    assert_eq!(due, [seconds(25) - early, seconds(28) - early]);
}

#[test]
fn weights_in_the_store_at_startup_count_as_named_long_ago() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    named.record(&model(), WeightsVersion(2), NamingTime::BeforeFirstRead);
    let from = named.required(&model())[0].effective_at;
    assert!(from <= start + Bounds::default().contact_window);
    // A stager knows the exact age.
    let now = start + Duration::from_secs(1);
    assert!(named.record_named_age(&model(), NamedVersion { version: 2, age_ms: 2000 }, now));
    let from = named.required(&model())[0].effective_at;
    assert_eq!(from, start + Duration::from_millis(5500));
    assert!(!named.record_named_age(&model(), NamedVersion { version: 2, age_ms: 0 }, now));
}

#[test]
fn a_response_is_overdue_only_after_the_bound_of_newer_weights() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let at = start + Duration::from_secs(20);
    named.record(&model(), WeightsVersion(2), NamingTime::NotBefore(at));
    let overdue = |version, now| named.overdue(&model(), WeightsVersion(version), now);
    let bound = at + Bounds::default().version_switch;
    let before = bound - Duration::from_millis(1);
    assert_eq!(overdue(1, before), None);
    let later = bound + Duration::from_millis(30);
    assert_eq!(overdue(1, later), Some((WeightsVersion(2), Duration::from_millis(30))));
    assert_eq!(overdue(2, later), None);
}

/// Guards against a request that begins on old weights after the bound, as it was sent before newer
/// ones were required and waited at a silent endpoint.
#[test]
fn a_request_may_begin_on_old_weights_until_the_middle_of_the_margin() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let at = |s| start + Duration::from_secs(s);
    let bound = Bounds::default().version_switch;
    let latest =
        |named: &NamedWeights, version| named.latest_start(&model(), WeightsVersion(version));
    assert_eq!(latest(&named, 1), None);
    named.record(&model(), WeightsVersion(2), NamingTime::NotBefore(at(20)));
    named.record(&model(), WeightsVersion(3), NamingTime::NotBefore(at(22)));
    let half_margin = Duration::from_millis(750);
    assert_eq!(latest(&named, 1), Some(at(20) + bound - half_margin));
    assert_eq!(latest(&named, 2), Some(at(22) + bound - half_margin));
    assert_eq!(latest(&named, 3), None);
    // It never ends before endpoints with the newer weights are required, and before the last request
    // was to begin.
    for required in named.required(&model()) {
        let older = required.version.0 - 1;
        assert!(latest(&named, older).unwrap() > required.effective_at);
        assert!(latest(&named, older).unwrap() > required.last_start);
    }
}

#[test]
fn a_request_may_begin_on_weights_older_than_those_at_startup_until_they_are_required() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    named.record(&model(), WeightsVersion(2), NamingTime::BeforeFirstRead);
    let required = named.required(&model())[0].effective_at;
    assert_eq!(named.latest_start(&model(), WeightsVersion(1)), Some(required));
}

/// After a dropped history, weights named a moment ago were required at once, though no engine had them
/// yet, and stagers were told that no time was left.
#[test]
fn weights_found_in_a_later_read_count_from_the_last_time_without_them() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let known_until = start + Duration::from_secs(60);
    named.record(&model(), WeightsVersion(2), NamingTime::NotBefore(known_until));
    let from = named.required(&model())[0].effective_at;
    assert_eq!(from, known_until + Duration::from_millis(6500));
    let read_at = known_until + Duration::from_secs(2);
    let newest = NamedVersion { version: 2, age_ms: 2000 };
    assert_eq!(named.newest(&model(), read_at), Some(newest));
    assert!(!named.record_named_age(&model(), NamedVersion { age_ms: 0, ..newest }, read_at));
}

/// A suspension that the clock did not count postponed the requirement past the bound.
#[test]
fn weights_named_before_a_suspension_are_required_earlier_by_its_length() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    named.record(&model(), WeightsVersion(2), NamingTime::BeforeFirstRead);
    let named_at = start + Duration::from_secs(60);
    named.record(&model(), WeightsVersion(3), NamingTime::NotBefore(named_at));
    let due = |named: &NamedWeights| -> Vec<Instant> {
        named.required(&model()).iter().map(|required| required.effective_at).collect()
    };
    let before = due(&named);
    let suspended = Duration::from_secs(2);
    named.correct_times(|at| at - suspended);
    let earlier: Vec<Instant> = before.iter().map(|at| *at - suspended).collect();
    assert_eq!(due(&named), earlier);
    let newest = NamedVersion { version: 3, age_ms: 2000 };
    assert_eq!(named.newest(&model(), named_at), Some(newest));
}
