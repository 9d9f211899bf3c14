use super::*;

/// During a rolling restart, too few gateways are in rotation, so that callers keep connecting until the
/// end.
#[test]
fn requests_late_in_the_shutdown_are_refused() {
    let since = Instant::now();
    let shutdown = Shutdown::new(since, Duration::from_secs(8));
    assert!(!shutdown.refuses(since + Duration::from_secs(2)));
    assert!(shutdown.refuses(since + Duration::from_millis(2800)));
    assert!(shutdown.refuses(since + Duration::from_millis(6541)));
}

#[test]
fn a_short_grace_period_leaves_time_for_accepted_requests() {
    let since = Instant::now();
    let shutdown = Shutdown::new(since, Duration::from_secs(2));
    assert!(shutdown.refuses(since + Duration::from_millis(700)));
}
