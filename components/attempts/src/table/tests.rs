use super::*;

const RUN: Incarnation = Incarnation(7);

fn offer(attempt: u128) -> Offer {
    let deadline = Duration::from_secs(10);
    Offer { attempt: AttemptId(attempt), incarnation: RUN, release: None, deadline }
}

fn reference(attempt: u128) -> AttemptRef {
    AttemptRef { attempt: AttemptId(attempt), incarnation: RUN, age_ms: 0 }
}

#[test]
fn a_cancelled_attempt_never_starts() {
    let now = Instant::now();
    let mut attempts = Attempts::new(RUN, AttemptsSettings::default());
    assert_eq!(attempts.cancel(&reference(1), now), Fate::NotRun);
    let late = attempts.offer(&offer(1), true, None, now);
    assert_eq!(late, Err(RefusalReason::Cancelled));
}

#[test]
fn a_repeated_offer_starts_once() {
    let now = Instant::now();
    let mut attempts = Attempts::new(RUN, AttemptsSettings::default());
    assert_eq!(attempts.offer(&offer(1), true, None, now), Ok(()));
    assert_eq!(attempts.offer(&offer(1), true, None, now), Err(RefusalReason::Duplicate));
    assert_eq!(attempts.cancel(&reference(1), now), Fate::Running);
    attempts.finish(AttemptId(1), Fate::Done, now);
    assert_eq!(attempts.offer(&offer(1), true, None, now), Err(RefusalReason::Duplicate));
    assert_eq!(attempts.running(), 0);
}

#[test]
fn another_run_cannot_vouch() {
    let now = Instant::now();
    let mut attempts = Attempts::new(Incarnation(8), AttemptsSettings::default());
    assert_eq!(attempts.offer(&offer(1), true, None, now), Err(RefusalReason::Incarnation));
    assert_eq!(attempts.cancel(&reference(1), now), Fate::Unknown);
}
