use super::*;

#[test]
fn calls_with_updates_are_bounded() {
    let now = Instant::now();
    let mut burst = BurstLimiter::new(now);
    let calls = (0..10).filter(|_| burst.try_take(true, now)).count();
    assert_eq!(calls as u32, MAX_BURST);
    let minute = (0..600).filter(|i| burst.try_take(true, now + Duration::from_millis(100) * *i));
    assert_eq!(minute.count() as u64, 60 / REFILL_INTERVAL.as_secs() - 1);
}

#[test]
fn a_document_is_spread_by_a_bounded_number_of_calls() {
    let now = Instant::now();
    let mut burst = BurstLimiter::new(now);
    assert!(!burst.try_take(false, now));
    burst.request_spread();
    let calls = (0..10).filter(|_| burst.try_take(false, now)).count();
    assert_eq!(calls as u32, SPREAD_CALLS);
}
