use super::*;

/// Stops in turn leave too few processes in rotation, so that callers come until the end.
#[test]
fn requests_that_come_late_after_sigterm_are_refused() {
    let since = Instant::now();
    let stopping = Shutdown::new(since, Duration::from_secs(8));
    assert!(!stopping.refuses(since + Duration::from_secs(2)));
    assert!(stopping.refuses(since + Duration::from_millis(2800)));
    assert!(stopping.refuses(since + Duration::from_millis(6541)));
}

#[test]
fn a_short_grace_period_leaves_time_for_what_was_taken() {
    let since = Instant::now();
    let stopping = Shutdown::new(since, Duration::from_secs(2));
    assert!(stopping.refuses(since + Duration::from_millis(700)));
}
