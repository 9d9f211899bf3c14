use super::*;

/// Time before the end of the grace period at which the process ends.
const MARGIN: Duration = Duration::from_millis(600);

fn stage_after(grace: Duration, after_ms: u64) -> ShutdownStage {
    let since = Instant::now();
    Shutdown::new(since, grace, MARGIN).stage(since + Duration::from_millis(after_ms))
}

/// During a rolling restart, too few gateways are in rotation, so that callers keep connecting until the
/// end.
#[test]
fn requests_late_in_the_shutdown_are_refused() {
    let grace = Duration::from_secs(8);
    assert_eq!(stage_after(grace, 2000), ShutdownStage::Serving);
    assert_eq!(stage_after(grace, 2800), ShutdownStage::Refusing);
    assert_eq!(stage_after(grace, 6541), ShutdownStage::Refusing);
}

#[test]
fn a_short_grace_period_leaves_time_for_accepted_requests() {
    let grace = Duration::from_secs(2);
    assert_eq!(stage_after(grace, 600), ShutdownStage::Serving);
    assert_eq!(stage_after(grace, 700), ShutdownStage::Refusing);
}

/// Guards against requests that are cut at the end: there is time to write their responses.
#[test]
fn requests_are_given_up_before_the_process_ends() {
    let since = Instant::now();
    let shutdown = Shutdown::new(since, Duration::from_secs(8), MARGIN);
    assert_eq!(shutdown.stage(shutdown.end() - WRITE_TIME), ShutdownStage::GivingUp);
    assert_eq!(stage_after(Duration::from_millis(500), 0), ShutdownStage::GivingUp);
}
