use bytes::Bytes;
use platform::store::{StoreEra, StoreRevision};

use super::*;

fn position(revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(1), revision: StoreRevision(revision) }
}

fn body(text: &'static str) -> StoreBody {
    StoreBody::Plain(Bytes::from_static(text.as_bytes()))
}

/// A history that was read at revision 10 and then saw the changes up to 12 and up to 15.
fn history(start: Instant) -> ChangeHistory {
    let mut history = ChangeHistory::default();
    history.restart(position(10), start);
    history.push(position(12), body("to 12"), start);
    history.push(position(15), body("to 15"), start);
    history
}

#[test]
fn each_change_is_passed_on_once_in_order() {
    let history = history(Instant::now());
    let since = |revision| history.since(position(revision));
    assert_eq!(since(10), ChangesSince::Changes(body("to 12")));
    assert_eq!(since(12), ChangesSince::Changes(body("to 15")));
    assert_eq!(since(15), ChangesSince::None);
    assert_eq!(since(13), ChangesSince::Changes(body("to 15")), "from within a batch");
    assert_eq!(since(99), ChangesSince::None, "this process is behind the one that asks");
}

#[test]
fn changes_from_before_the_first_read_are_unknown() {
    let history = history(Instant::now());
    assert_eq!(history.since(position(9)), ChangesSince::Unknown);
    assert_eq!(ChangeHistory::default().since(position(9)), ChangesSince::Unknown);
}

#[test]
fn old_changes_are_dropped_and_then_unknown() {
    let start = Instant::now();
    let mut history = history(start);
    let later = start + MAX_AGE + Duration::from_secs(1);
    history.push(position(15), body("nothing new"), later);
    assert_eq!(history.since(position(12)), ChangesSince::Unknown);
    assert_eq!(history.since(position(15)), ChangesSince::None);
}

#[test]
fn large_changes_are_dropped_except_for_the_newest() {
    let start = Instant::now();
    let mut history = ChangeHistory::default();
    history.restart(position(1), start);
    let mut rng = fastrand::Rng::with_seed(1);
    for revision in 2..5 {
        // Noise stays as large as it is.
        let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(MAX_BYTES).collect();
        history.push(position(revision), StoreBody::Plain(Bytes::from(noise)), start);
    }
    assert_eq!(history.since(position(2)), ChangesSince::Unknown);
    assert!(matches!(history.since(position(3)), ChangesSince::Changes(_)));
}

/// Guards against a few large configurations that leave no room for the changes before them, so that
/// gateways are told nothing and all ask the store.
#[test]
fn several_large_configurations_in_a_row_are_kept() {
    let start = Instant::now();
    let mut history = ChangeHistory::default();
    history.restart(position(1), start);
    let route = |n| format!(r#"{{"name":"r{n}","host":"h{n}","kind":"safe","timeout_ms":400}}"#);
    let routes: String = (0..10_000).map(route).collect();
    for revision in 2..10 {
        let body = StoreBody::Plain(Bytes::from(format!("{revision}{routes}")));
        history.push(position(revision), body, start);
    }
    assert!(matches!(history.since(position(1)), ChangesSince::Changes(_)));
}

#[test]
fn the_age_counts_from_the_last_confirmation() {
    let start = Instant::now();
    let mut history = history(start);
    let later = start + Duration::from_secs(2);
    assert_eq!(history.age(later), Some(Duration::from_secs(2)));
    history.push(position(15), body("nothing new"), later);
    assert_eq!(history.age(later), Some(Duration::ZERO));
    assert_eq!(ChangeHistory::default().age(later), None);
}

/// Guards against telling a process that nothing is new, or passing changes on, across eras.
#[test]
fn changes_are_unknown_to_a_process_that_knows_another_era() {
    let history = history(Instant::now());
    for era in [0, 2] {
        for revision in [9, 12, 15, 99] {
            let after = StorePosition { era: StoreEra(era), revision: StoreRevision(revision) };
            assert_eq!(history.since(after), ChangesSince::Unknown, "{after}");
        }
    }
}

#[test]
fn changes_of_another_era_are_not_added() {
    let start = Instant::now();
    let mut history = history(start);
    let newer = StorePosition { era: StoreEra(2), revision: StoreRevision(16) };
    history.push(newer, body("of another era"), start);
    assert_eq!(history.since(position(15)), ChangesSince::None);
}

#[test]
fn a_watch_that_ran_out_tells_all_changes_up_to_its_end() {
    let sent_at = Instant::now();
    let wait = Duration::from_millis(800);
    let known = |has_changes, ms| {
        known_by_watch(sent_at, wait, has_changes, sent_at + Duration::from_millis(ms)) - sent_at
    };
    assert_eq!(known(false, 801), wait);
    assert_eq!(known(false, 9000), wait, "the process was frozen before it read the answer");
    assert_eq!(known(false, 300), Duration::ZERO, "answered early");
    assert_eq!(known(true, 300), Duration::ZERO, "more may have been named on the way");
    assert_eq!(known(true, 9000), Duration::ZERO);
}

/// A gateway that was suspended took its knowledge for newer than it was.
#[test]
fn knowledge_from_before_a_suspension_is_older_by_its_length() {
    let start = Instant::now();
    let mut history = history(start);
    let suspended = Duration::from_millis(1);
    history.correct_times(|at| at - suspended);
    assert_eq!(history.age(start), Some(suspended));
}

#[test]
fn a_kept_read_tells_those_who_know_an_older_position() {
    let start = Instant::now();
    let mut history = history(start);
    history.restart(position(20), start);
    assert_eq!(history.since(position(15)), ChangesSince::Unknown);
    let pages = vec![body("page 1"), body("page 2")];
    history.keep_pages(pages.clone());
    let read = ChangesSince::All(StorePages { position: position(20), pages });
    assert_eq!(history.since(position(15)), read);
    assert!(!history.has_more_than_next(position(15)));
    history.push(position(23), body("to 23"), start);
    assert_eq!(history.since(position(15)), read);
    assert!(history.has_more_than_next(position(15)), "the changes after the read");
    assert_eq!(history.since(position(20)), ChangesSince::Changes(body("to 23")));
    assert!(!history.has_more_than_next(position(20)));
    let other_era = StorePosition { era: StoreEra(0), ..position(15) };
    assert_eq!(history.since(other_era), ChangesSince::Unknown);
    let later = start + MAX_AGE + Duration::from_secs(1);
    history.push(position(23), body("nothing new"), later);
    assert_eq!(history.since(position(15)), ChangesSince::Unknown, "the read is dropped");
}
