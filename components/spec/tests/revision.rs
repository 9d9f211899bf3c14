//! The revision in force never falls.

use spec::{
    Report, explore,
    revision::{Fault, Settings, World, rules},
};

fn check(settings: Settings) -> Report {
    let report = explore(&rules(), World::new(settings));
    println!("{settings:?}\n{report}");
    report
}

fn breaks(settings: Settings, invariant: &str) {
    let (broken, _) = check(settings).broken.expect("the fault is reported");
    assert_eq!(broken, invariant);
}

#[test]
fn two_processes() {
    assert_eq!(check(Settings::default()).broken, None);
}

#[test]
fn two_processes_with_three_revisions() {
    let settings = Settings { revisions: 3, restarts: 0, ..Settings::default() };
    assert_eq!(check(settings).broken, None);
}

#[test]
fn an_older_document_is_reported() {
    let settings = Settings { fault: Some(Fault::Older), ..Settings::default() };
    breaks(settings, "the revision in force never falls");
}

#[test]
fn a_process_that_does_not_ask_is_reported() {
    let settings = Settings { fault: Some(Fault::Join), ..Settings::default() };
    breaks(settings, "a restarted process acts on nothing older than its peers state");
}
