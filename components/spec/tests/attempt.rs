//! A request that must not be retried runs at most once, and a reported "not run" is true.

use spec::{
    Report,
    attempt::{Fault, ModelState, Settings, specification},
    explore,
};

const AT_MOST_ONCE: &str = "a request that must not be retried runs at most once";
const NOT_RUN_IS_TRUE: &str = "an attempt that was reported as not run never runs";

fn check(settings: Settings) -> Report {
    let report = explore(&specification(), ModelState::new(settings));
    println!("{settings:?}\n{report}");
    report
}

fn assert_violates(fault: Fault, invariant: &str) {
    let report = check(Settings { fault: Some(fault), ..Settings::default() });
    let (violation, trace) = report.violation.expect("the fault is reported");
    assert_eq!(violation, invariant);
    assert!(!trace.is_empty());
}

#[test]
fn two_attempts_at_two_agents() {
    assert_eq!(check(Settings::default()).violation, None);
}

#[test]
fn three_attempts_at_one_agent() {
    let settings = Settings { agents: 1, attempts: 3, duplicates: 0, ..Settings::default() };
    assert_eq!(check(settings).violation, None);
}

#[test]
fn late_messages_past_the_retention() {
    let settings = Settings {
        agents: 1,
        attempts: 1,
        restarts: 0,
        time_transitions: 5,
        ..Settings::default()
    };
    assert_eq!(check(settings).violation, None);
}

#[test]
fn an_agent_that_does_not_check_incarnations_is_reported() {
    assert_violates(Fault::IgnoreIncarnation, AT_MOST_ONCE);
}

#[test]
fn a_lost_tombstone_is_reported() {
    assert_violates(Fault::ForgetCancelled, NOT_RUN_IS_TRUE);
}

#[test]
fn a_forgotten_refusal_is_reported() {
    assert_violates(Fault::ForgetRefused, NOT_RUN_IS_TRUE);
}

#[test]
fn a_forgotten_finished_attempt_is_reported() {
    assert_violates(Fault::ForgetFinished, AT_MOST_ONCE);
}

#[test]
fn a_retry_after_an_unknown_outcome_is_reported() {
    assert_violates(Fault::RetryUnknown, AT_MOST_ONCE);
}
