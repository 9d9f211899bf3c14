use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn attempts_that_noticed_one_crash_report_the_same() {
    let (started_at, now) = (Instant::now(), Instant::now() + SECOND);
    let mut crashes = CrashHistory::default();
    let first = Crash { number: 1, alone: false };
    assert_eq!(crashes.record(started_at, 2, now), Some(first));
    assert_eq!(crashes.record(started_at, 1, now + SECOND), Some(first), "the other one has ended");
    crashes.record_serving(now);
    assert_eq!(
        crashes.record(started_at, 1, now + SECOND),
        Some(first),
        "it was asked before the crash"
    );
    crashes.record_serving(now + SECOND);
    let second = Crash { number: 2, alone: true };
    assert_eq!(crashes.record(started_at, 1, now + SECOND * 2), Some(second));
}

#[test]
fn an_attempt_that_started_after_a_crash_did_not_cause_it() {
    let (started_at, now) = (Instant::now(), Instant::now() + SECOND);
    let mut crashes = CrashHistory::default();
    assert!(crashes.record(started_at, 1, now).is_some());
    assert_eq!(crashes.record(now + SECOND, 1, now + SECOND * 2), None);
}
