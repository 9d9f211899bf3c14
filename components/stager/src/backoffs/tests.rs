use super::*;

/// Guards against a shorter time that ends a longer one, and against an absurd one.
#[test]
fn times_only_grow_and_are_bounded() {
    let start = Instant::now();
    let host = "10.0.0.1:80".parse().unwrap();
    let mut backoffs = Backoffs::default();
    assert_eq!(backoffs.remaining(host, start), None);
    backoffs.record(host, Duration::from_secs(3), start);
    backoffs.record(host, Duration::ZERO, start);
    backoffs.record(host, Duration::from_secs(1), start + Duration::from_secs(1));
    let now = start + Duration::from_secs(1);
    assert_eq!(backoffs.remaining(host, now), Some(Duration::from_secs(2)));
    assert_eq!(backoffs.remaining(host, start + Duration::from_secs(3)), None);
    assert_eq!(backoffs.remaining("10.0.0.1:81".parse().unwrap(), now), None);
    backoffs.record(host, Duration::MAX, start);
    assert_eq!(backoffs.remaining(host, start), Some(MAX_BACKOFF));
}
