use platform::store::StoreRevision;

use super::*;

fn position(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision: StoreRevision(revision) }
}

/// A process that has read the store at revision 20 of era 1.
fn progress() -> StoreProgress {
    let mut progress = StoreProgress::default();
    assert_eq!(progress.accept_snapshot(position(1, 20), Instant::now()).unwrap(), None);
    progress
}

fn accept_changes(progress: &mut StoreProgress, position: StorePosition) -> Result<(), ReadError> {
    progress.accept_changes(&WatchedChanges::none(position), Instant::now())
}

#[test]
fn a_newer_era_requires_a_full_read_which_may_go_back_to_a_lower_revision() {
    let mut progress = progress();
    let recovery = progress.record_failure(&ReadError::Restored(StoreEra(2)));
    assert_eq!(recovery, Recovery::ReadAll);
    assert_eq!(progress.position(), None);
    let restored = progress.accept_snapshot(position(2, 12), Instant::now()).unwrap();
    let expected = Restoration { before: position(1, 20), after: position(2, 12) };
    assert_eq!(restored, Some(expected));
    assert_eq!(progress.position(), Some(position(2, 12)));
}

#[test]
fn a_full_read_of_an_older_era_is_rejected_until_one_of_the_newest_succeeds() {
    let mut progress = progress();
    progress.record_failure(&ReadError::Restored(StoreEra(3)));
    for era in [1, 2] {
        let err = progress.accept_snapshot(position(era, 99), Instant::now()).unwrap_err();
        assert!(matches!(err, ReadError::OlderEra { .. }), "{err}");
        assert_eq!(progress.position(), None);
        assert_eq!(progress.record_failure(&err), Recovery::Retry);
    }
    assert!(progress.accept_snapshot(position(3, 12), Instant::now()).unwrap().is_some());
}

#[test]
fn changes_of_another_era_are_rejected() {
    let mut progress = progress();
    let older = accept_changes(&mut progress, position(0, 99));
    assert!(matches!(older, Err(ReadError::OlderEra { .. })));
    let newer = accept_changes(&mut progress, position(2, 21));
    assert!(matches!(newer, Err(ReadError::Restored(StoreEra(2)))));
    assert_eq!(progress.position(), Some(position(1, 20)));
    accept_changes(&mut progress, position(1, 21)).unwrap();
    assert_eq!(progress.position(), Some(position(1, 21)));
}

#[test]
fn a_late_answer_of_an_older_era_changes_nothing() {
    let mut progress = progress();
    let late = ReadError::OlderEra { answered: StoreEra(0), known: StoreEra(1) };
    assert_eq!(progress.record_failure(&late), Recovery::Retry);
    assert_eq!(progress.position(), Some(position(1, 20)));
}

#[test]
fn a_discarded_history_requires_a_full_read_and_is_no_restoration() {
    let mut progress = progress();
    assert_eq!(progress.record_failure(&ReadError::HistoryGone), Recovery::ReadAll);
    assert_eq!(progress.position(), None);
    assert_eq!(progress.accept_snapshot(position(1, 30), Instant::now()).unwrap(), None);
}

/// Guards against telling other processes that nothing is new between the store's return and the
/// read of the whole store.
#[test]
fn nothing_is_passed_on_once_a_newer_era_was_seen() {
    let mut progress = progress();
    assert_eq!(progress.changes_since(position(1, 20)), ChangesSince::None);
    progress.record_failure(&ReadError::Restored(StoreEra(2)));
    assert_eq!(progress.changes_since(position(1, 20)), ChangesSince::Unknown);
    progress.accept_snapshot(position(2, 12), Instant::now()).unwrap();
    assert_eq!(progress.changes_since(position(1, 20)), ChangesSince::Unknown);
    assert_eq!(progress.changes_since(position(2, 12)), ChangesSince::None);
}

/// Guards against weights that count as named long ago, or too late, as they are found after a read.
#[test]
fn what_is_known_stays_known_in_a_newer_era() {
    let start = Instant::now();
    let mut progress = progress();
    assert_eq!(progress.known_until(), None);
    progress.record_known(start);
    progress.record_known(start - Duration::from_secs(1));
    progress.record_failure(&ReadError::Restored(StoreEra(2)));
    progress.accept_snapshot(position(2, 12), start).unwrap();
    assert_eq!(progress.known_until(), Some(start));
}

#[test]
fn a_process_that_lacks_more_than_the_next_changes_does_not_know_all() {
    let start = Instant::now();
    let mut progress = progress();
    progress.record_known(start);
    accept_changes(&mut progress, position(1, 22)).unwrap();
    accept_changes(&mut progress, position(1, 25)).unwrap();
    let known = |revision| progress.known_with_next(position(1, revision));
    assert_eq!(known(20), None, "the changes up to 25 are missing");
    assert_eq!(known(22), Some(start));
    assert_eq!(known(25), Some(start));
}

#[test]
fn what_was_known_before_a_suspension_is_older_by_its_length() {
    let start = Instant::now();
    let mut progress = StoreProgress::default();
    progress.accept_snapshot(position(1, 20), start).unwrap();
    progress.record_known(start);
    let suspended = Duration::from_millis(1);
    progress.correct_times(|at| at - suspended);
    assert_eq!(progress.known_until(), Some(start - suspended));
    assert_eq!(progress.age(start), Some(suspended));
}

#[test]
fn what_the_store_no_longer_has_another_process_can_tell() {
    let mut progress = progress();
    progress.record_failure(&ReadError::HistoryGone);
    assert_eq!(progress.position(), None);
    assert_eq!(progress.position_for_peers(), Some(position(1, 20)));
    accept_changes(&mut progress, position(1, 20)).unwrap();
    assert_eq!(progress.position(), None, "nothing new was told");
    accept_changes(&mut progress, position(1, 22)).unwrap();
    assert_eq!(progress.position(), Some(position(1, 22)));
    progress.record_failure(&ReadError::Restored(StoreEra(2)));
    assert_eq!(progress.position_for_peers(), None, "revisions of two eras cannot be compared");
}
