use std::time::Duration;

use super::*;

/// Guards against an endpoint that waits for its turn until the time limit of the newest version, while
/// gateways send it nothing since that of an earlier one which it does not serve either.
#[test]
fn the_time_limit_counts_from_the_first_version_that_an_endpoint_lacks() {
    let start = Instant::now();
    let at = |secs| start + Duration::from_secs(secs);
    let mut named = NamedVersions::default();
    assert!(named.record(WeightsVersion(2), at(0)));
    assert!(named.record(WeightsVersion(3), at(2)));
    assert!(!named.record(WeightsVersion(2), at(3)));
    assert_eq!(named.newest(), Some((WeightsVersion(3), at(2))));
    assert_eq!(named.first_after(WeightsVersion(1)), Some(at(0)));
    assert_eq!(named.first_after(WeightsVersion(2)), Some(at(2)));
    assert_eq!(named.first_after(WeightsVersion(3)), None);
    named.correct_times(|at| at + Duration::from_secs(1));
    assert_eq!(named.first_after(WeightsVersion(1)), Some(at(1)));
}
