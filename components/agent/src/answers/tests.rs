use super::*;

const SECOND: Duration = Duration::from_secs(1);

#[test]
fn attempts_that_saw_one_crash_name_the_same() {
    let (made, now) = (Instant::now(), Instant::now() + SECOND);
    let mut crashes = Crashes::default();
    let first = Crash { number: 1, alone: false };
    assert_eq!(crashes.seen(made, 2, now), Some(first));
    assert_eq!(crashes.seen(made, 1, now + SECOND), Some(first), "the other one has ended");
    crashes.serves(now);
    assert_eq!(crashes.seen(made, 1, now + SECOND), Some(first), "it was asked before the crash");
    crashes.serves(now + SECOND);
    let second = Crash { number: 2, alone: true };
    assert_eq!(crashes.seen(made, 1, now + SECOND * 2), Some(second));
}

#[test]
fn an_attempt_that_was_made_after_a_crash_did_not_cause_it() {
    let (made, now) = (Instant::now(), Instant::now() + SECOND);
    let mut crashes = Crashes::default();
    assert!(crashes.seen(made, 1, now).is_some());
    assert_eq!(crashes.seen(now + SECOND, 1, now + SECOND * 2), None);
}
