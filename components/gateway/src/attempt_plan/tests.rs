use super::*;

const PATIENCE: Duration = Duration::from_millis(900);
const PAUSE: Duration = Duration::from_millis(700);

fn plan(max_attempts: u32, is_repeatable: bool, now: Instant) -> AttemptPlan {
    AttemptPlan::new(AttemptLimits { max_attempts, is_repeatable }, now)
}

#[test]
fn a_silent_endpoint_is_a_reason_to_ask_another_one_and_not_to_give_up() {
    let start = Instant::now();
    let mut plan = plan(2, true, start);
    assert_eq!(plan.next_step(Progress::Nothing, start), NextStep::Start);
    plan.record_sent(PATIENCE, start);
    let due = start + PATIENCE;
    assert_eq!(plan.next_step(Progress::Waiting, start), NextStep::Wait(Some(due)));
    assert_eq!(plan.next_step(Progress::Waiting, due), NextStep::Start);
    let second = plan.record_sent(PATIENCE, due);
    plan.record_end(second, due);
    assert_eq!(plan.next_step(Progress::Waiting, due), NextStep::Wait(None));
    assert_eq!(plan.next_step(Progress::Nothing, due), NextStep::GiveUp);
}

#[test]
fn a_request_that_may_run_once_is_not_sent_again_while_it_may_run() {
    let start = Instant::now();
    let mut plan = plan(3, false, start);
    let first = plan.record_sent(PATIENCE, start);
    assert_eq!(plan.next_step(Progress::Waiting, start + 10 * PATIENCE), NextStep::Wait(None));
    // The endpoint promised that it has not run the request.
    plan.record_end(first, start);
    assert_eq!(plan.next_step(Progress::Nothing, start), NextStep::Start);
}

#[test]
fn the_next_endpoint_is_asked_at_once_when_the_newest_one_refuses() {
    let start = Instant::now();
    let mut plan = plan(3, true, start);
    let first = plan.record_sent(PATIENCE, start);
    let due = start + PATIENCE;
    let second = plan.record_sent(PATIENCE, due);
    // The end of an older attempt does not hasten the next one.
    plan.record_end(first, due);
    assert_eq!(plan.next_step(Progress::Waiting, due), NextStep::Wait(Some(due + PATIENCE)));
    plan.record_end(second, due);
    assert_eq!(plan.next_step(Progress::Waiting, due), NextStep::Start);
}

#[test]
fn an_endpoint_that_cannot_be_reached_does_not_use_up_an_attempt() {
    let start = Instant::now();
    let mut plan = plan(1, true, start);
    for _ in 0..MAX_UNREACHED {
        assert_eq!(plan.next_step(Progress::Nothing, start), NextStep::Start);
        let attempt = plan.record_sent(PATIENCE, start);
        plan.record_unreached(attempt, start);
        assert_eq!(plan.sent_count(), 0);
    }
    assert_eq!(plan.next_step(Progress::Nothing, start), NextStep::GiveUp);
}

#[test]
fn another_endpoint_is_asked_again_only_after_the_pause() {
    let start = Instant::now();
    let mut plan = plan(2, true, start);
    plan.record_sent(PATIENCE, start);
    let due = start + PATIENCE;
    plan.postpone(due + PAUSE);
    assert_eq!(plan.next_step(Progress::Waiting, due), NextStep::Wait(Some(due + PAUSE)));
    assert_eq!(plan.next_step(Progress::Waiting, due + PAUSE), NextStep::Start);
    // Nothing is left to wait for.
    assert_eq!(plan.next_step(Progress::Nothing, due), NextStep::Start);
}

/// Guards against sending a request twice because its response is long.
#[test]
fn no_other_endpoint_is_asked_while_a_response_arrives() {
    let start = Instant::now();
    let mut plan = plan(2, true, start);
    plan.record_sent(PATIENCE, start);
    let late = start + 10 * PATIENCE;
    assert_eq!(plan.next_step(Progress::Responding, late), NextStep::Wait(None));
    assert_eq!(plan.next_step(Progress::Waiting, late), NextStep::Start);
}
