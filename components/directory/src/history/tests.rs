use super::*;

fn body(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

/// A history that was read at revision 10 and then saw the changes up to 12 and up to 15.
fn history(start: Instant) -> ChangeHistory {
    let mut history = ChangeHistory::default();
    history.restart(StoreRevision(10), start);
    history.push(StoreRevision(12), body("to 12"), start);
    history.push(StoreRevision(15), body("to 15"), start);
    history
}

#[test]
fn each_change_is_passed_on_once_in_order() {
    let history = history(Instant::now());
    let since = |revision| history.since(StoreRevision(revision));
    assert_eq!(since(10), ChangesSince::Changes(body("to 12")));
    assert_eq!(since(12), ChangesSince::Changes(body("to 15")));
    assert_eq!(since(15), ChangesSince::None);
    assert_eq!(since(13), ChangesSince::Changes(body("to 15")), "from within a batch");
    assert_eq!(since(99), ChangesSince::None, "this process is behind the one that asks");
}

#[test]
fn changes_from_before_the_first_read_are_unknown() {
    let history = history(Instant::now());
    assert_eq!(history.since(StoreRevision(9)), ChangesSince::Unknown);
    assert_eq!(ChangeHistory::default().since(StoreRevision(9)), ChangesSince::Unknown);
}

#[test]
fn old_changes_are_dropped_and_then_unknown() {
    let start = Instant::now();
    let mut history = history(start);
    let later = start + MAX_AGE + Duration::from_secs(1);
    history.push(StoreRevision(15), body("nothing new"), later);
    assert_eq!(history.since(StoreRevision(12)), ChangesSince::Unknown);
    assert_eq!(history.since(StoreRevision(15)), ChangesSince::None);
}

#[test]
fn large_changes_are_dropped_except_for_the_newest() {
    let start = Instant::now();
    let mut history = ChangeHistory::default();
    history.restart(StoreRevision(1), start);
    for revision in 2..5 {
        history.push(StoreRevision(revision), Bytes::from(vec![0; MAX_BYTES]), start);
    }
    assert_eq!(history.since(StoreRevision(2)), ChangesSince::Unknown);
    assert!(matches!(history.since(StoreRevision(3)), ChangesSince::Changes(_)));
}

#[test]
fn the_age_counts_from_the_last_confirmation() {
    let start = Instant::now();
    let mut history = history(start);
    let later = start + Duration::from_secs(2);
    assert_eq!(history.age(later), Some(Duration::from_secs(2)));
    history.push(StoreRevision(15), body("nothing new"), later);
    assert_eq!(history.age(later), Some(Duration::ZERO));
    assert_eq!(ChangeHistory::default().age(later), None);
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

#[test]
fn a_process_that_lacks_more_than_the_next_changes_does_not_know_all() {
    let start = Instant::now();
    let mut history = history(start);
    assert_eq!(history.known_until(), None);
    history.record_known(start);
    history.record_known(start - Duration::from_secs(1));
    assert_eq!(history.known_until(), Some(start));
    let known = |revision| history.known_with_next(StoreRevision(revision));
    assert_eq!(known(10), None, "the changes up to 15 are missing");
    assert_eq!(known(12), Some(start));
    assert_eq!(known(15), Some(start));
}

/// A gateway that was suspended took its knowledge for newer than it was.
#[test]
fn knowledge_from_before_a_suspension_is_older_by_its_length() {
    let start = Instant::now();
    let mut history = ChangeHistory::default();
    history.restart(StoreRevision(5), start);
    history.record_known(start);
    let suspended = Duration::from_millis(1);
    history.correct_times(|at| at - suspended);
    assert_eq!(history.age(start), Some(suspended));
    assert_eq!(history.known_until(), Some(start - suspended));
}
