use super::*;

#[test]
fn a_link_passes_no_more_than_its_rate() {
    let mut link = LinkLimiter::new(ByteRate(1000));
    let now = Instant::now();
    let mut wait = Duration::ZERO;
    for _ in 0..20 {
        wait = link.reserve(ByteSize(100), now);
    }
    assert!(wait >= Duration::from_millis(1950), "{wait:?}");
    let later = now + Duration::from_secs(10);
    assert!(link.reserve(ByteSize(100), later) <= Duration::from_millis(100));
}

#[test]
fn a_changed_rate_holds_for_what_follows() {
    let mut link = LinkLimiter::new(ByteRate(1000));
    let now = Instant::now();
    let before = link.reserve(ByteSize(1000), now);
    link.set_rate(ByteRate(10_000));
    let after = link.reserve(ByteSize(1000), now);
    assert_eq!(after - before, Duration::from_millis(100));
}
