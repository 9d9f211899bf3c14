//! The current revision of a process never decreases.

use spec::{
    Report, explore,
    revision::{Fault, ModelState, Settings, specification},
};

fn check(settings: Settings) -> Report {
    let report = explore(&specification(), ModelState::new(settings));
    println!("{settings:?}\n{report}");
    report
}

fn assert_violates(settings: Settings, invariant: &str) {
    let (violation, _) = check(settings).violation.expect("the fault is reported");
    assert_eq!(violation, invariant);
}

#[test]
fn two_processes() {
    assert_eq!(check(Settings::default()).violation, None);
}

#[test]
fn two_processes_with_three_revisions() {
    let settings = Settings { revisions: 3, restarts: 0, ..Settings::default() };
    assert_eq!(check(settings).violation, None);
}

#[test]
fn an_older_document_is_reported() {
    let settings = Settings { fault: Some(Fault::AcceptOlder), ..Settings::default() };
    assert_violates(settings, "the current revision never decreases");
}

#[test]
fn a_process_that_does_not_query_peers_is_reported() {
    let settings = Settings { fault: Some(Fault::SkipJoining), ..Settings::default() };
    assert_violates(
        settings,
        "a restarted process acts on no older revision than its peers report",
    );
}
