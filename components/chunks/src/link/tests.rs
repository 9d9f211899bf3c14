use super::*;

#[test]
fn a_link_carries_no_more_than_its_rate() {
    let mut limiter = LinkLimiter::new(ByteRate(1000));
    let now = Instant::now();
    let mut wait = Duration::ZERO;
    for _ in 0..20 {
        wait = limiter.reserve(ByteSize(100), now);
    }
    assert!(wait >= Duration::from_millis(1950), "{wait:?}");
    let later = now + Duration::from_secs(10);
    assert!(limiter.reserve(ByteSize(100), later) <= Duration::from_millis(100));
}

#[test]
fn a_changed_rate_applies_to_later_reservations() {
    let mut limiter = LinkLimiter::new(ByteRate(1000));
    let now = Instant::now();
    let before = limiter.reserve(ByteSize(1000), now);
    limiter.set_rate(ByteRate(10_000));
    let after = limiter.reserve(ByteSize(1000), now);
    assert_eq!(after - before, Duration::from_millis(100));
}
