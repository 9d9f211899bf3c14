use super::*;

fn model() -> ModelId {
    "m".parse().unwrap()
}

/// Guards against the initial version while the store may name a newer one.
#[test]
fn nothing_is_presumed_before_the_store_was_read() {
    let start = Instant::now();
    let mut presumed = PresumedWeights::default();
    presumed.record_report(&model(), WeightsVersion(1));
    assert_eq!(presumed.version(&model(), start + Duration::from_secs(60)), None);
    presumed.record_read(start + Duration::from_secs(60));
    assert_eq!(presumed.version(&model(), start + Duration::from_secs(60)), None);
    let due = presumed.due().unwrap();
    assert_eq!(presumed.version(&model(), due), Some(WeightsVersion::INITIAL));
}

/// Guards against a later read that postpones the presumption.
#[test]
fn a_later_read_does_not_postpone_the_presumption() {
    let start = Instant::now();
    let mut presumed = PresumedWeights::default();
    presumed.record_read(start);
    let due = presumed.due();
    presumed.record_read(start + Duration::from_secs(3));
    assert_eq!(presumed.due(), due);
}

/// Guards against the initial version beside a newer one that an endpoint still serves.
#[test]
fn a_reported_version_comes_before_the_initial_one_and_an_older_one_does_not_replace_it() {
    let start = Instant::now();
    let later = start + Duration::from_secs(60);
    let mut presumed = PresumedWeights::default();
    presumed.record_read(start);
    for version in [2, 4, 3, 0] {
        presumed.record_report(&model(), WeightsVersion(version));
    }
    assert_eq!(presumed.version(&model(), later), Some(WeightsVersion(4)));
    assert_eq!(presumed.version(&"other".parse().unwrap(), later), Some(WeightsVersion::INITIAL));
}

/// Guards against the initial version in place of a named one that cannot be read.
#[test]
fn nothing_is_presumed_while_a_named_version_cannot_be_read() {
    let start = Instant::now();
    let mut presumed = PresumedWeights::default();
    presumed.record_read(start);
    presumed.record_unreadable();
    assert_eq!(presumed.version(&model(), start + Duration::from_secs(60)), None);
}
