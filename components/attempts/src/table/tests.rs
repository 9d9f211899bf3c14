use super::*;

const INCARNATION: Incarnation = Incarnation(7);

fn request(attempt: u128) -> AttemptRequest {
    let deadline = Duration::from_secs(10);
    let (stamp, attempt) = (Duration::ZERO, AttemptId(attempt));
    AttemptRequest { attempt, incarnation: INCARNATION, release: None, deadline, stamp, key: None }
}

fn reference(attempt: u128) -> AttemptRef {
    AttemptRef { attempt: AttemptId(attempt), incarnation: INCARNATION, stamp: 0 }
}

#[test]
fn a_cancelled_attempt_never_starts() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    assert_eq!(attempts.cancel(&reference(1), now), ExecutionStatus::NotRun);
    let late = attempts.try_start(&request(1), true, None, now);
    assert_eq!(late, Err(RefusalReason::Cancelled));
}

#[test]
fn a_repeated_request_starts_once() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    assert_eq!(attempts.try_start(&request(1), true, None, now), Ok(()));
    assert_eq!(attempts.try_start(&request(1), true, None, now), Err(RefusalReason::Duplicate));
    assert_eq!(attempts.cancel(&reference(1), now), ExecutionStatus::Running);
    attempts.finish(AttemptId(1), ExecutionStatus::Done, now);
    assert_eq!(attempts.try_start(&request(1), true, None, now), Err(RefusalReason::Duplicate));
    assert_eq!(attempts.running(), 0);
}

#[test]
fn another_incarnation_knows_nothing_of_the_attempt() {
    let now = Instant::now();
    let mut attempts = Attempts::new(Incarnation(8), AttemptsSettings::default(), now);
    assert_eq!(attempts.try_start(&request(1), true, None, now), Err(RefusalReason::Incarnation));
    assert_eq!(attempts.cancel(&reference(1), now), ExecutionStatus::Unknown);
}

#[test]
fn a_cancelled_attempt_that_arrives_after_its_record_is_gone_does_not_start() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    assert_eq!(attempts.cancel(&reference(1), now), ExecutionStatus::NotRun);
    attempts.tick(now + Duration::from_secs(119));
    assert_eq!(attempts.len(), 1, "it may still arrive");
    let later = now + Duration::from_secs(601);
    attempts.tick(later);
    assert!(attempts.is_empty());
    assert_eq!(attempts.try_start(&request(1), true, None, later), Err(RefusalReason::Late));
    assert_eq!(
        attempts.cancel(&reference(2), later),
        ExecutionStatus::Unknown,
        "its record may be gone too"
    );
}

#[test]
fn an_attempt_that_waited_for_a_paused_agent_does_not_start() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    let resumed = now + Duration::from_secs(16);
    assert_eq!(attempts.try_start(&request(1), true, None, resumed), Err(RefusalReason::Late));
    let fresh = AttemptRequest { stamp: Duration::from_secs(15), ..request(2) };
    assert_eq!(attempts.try_start(&fresh, true, None, resumed), Ok(()));
}

#[test]
fn a_key_can_be_reused_if_its_attempt_did_not_run() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    let key = Some(KeyUse {
        workspace: "counter".parse().unwrap(),
        key: "k".to_owned(),
        fingerprint: base::Digest::of(b""),
        authoritative: true,
    });
    let keyed = |attempt| AttemptRequest { key: key.clone(), ..request(attempt) };
    assert_eq!(attempts.try_start(&keyed(1), true, None, now), Ok(()));
    attempts.finish(AttemptId(1), ExecutionStatus::NotRun, now);
    assert_eq!(attempts.try_start(&keyed(2), true, None, now), Ok(()));
    attempts.finish(AttemptId(2), ExecutionStatus::Unknown, now);
    let used = Err(RefusalReason::KeyUsed { attempt: AttemptId(2) });
    assert_eq!(attempts.try_start(&keyed(3), true, None, now), used);
}

#[test]
fn a_running_record_never_expires_and_an_ended_one_expires_after_the_retention() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    let second = Duration::from_secs(1);
    assert_eq!(attempts.try_start(&request(1), true, None, now), Ok(()));
    attempts.tick(now + second * 10_000);
    assert_eq!(attempts.running(), 1);
    let ended = now + second * 10_000;
    attempts.finish(AttemptId(1), ExecutionStatus::Done, ended);
    attempts.tick(ended + second * 599);
    assert_eq!(attempts.len(), 1);
    attempts.tick(ended + second * 600);
    assert!(attempts.is_empty());
}

#[test]
fn an_attempt_that_was_refused_does_not_start_later() {
    let now = Instant::now();
    let mut attempts = Attempts::new(INCARNATION, AttemptsSettings::default(), now);
    let max_deadline = AttemptRequest { deadline: Duration::from_secs(300), ..request(1) };
    assert_eq!(attempts.try_start(&max_deadline, false, None, now), Err(RefusalReason::Draining));
    for seconds in [1, 119, 120, 121, 600] {
        let later = now + Duration::from_secs(seconds);
        attempts.tick(later);
        assert!(attempts.try_start(&max_deadline, true, None, later).is_err(), "after {seconds}s");
    }
}
