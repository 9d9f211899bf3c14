//! Guards against a zone that gets no weights as one digest of its list is wrong, and against an origin that is asked
//! for the list whenever a piece is spoilt.

use super::*;

const SOUND: Bytes = Bytes::from_static(b"sound");

fn spoilt(n: u8) -> Bytes {
    Bytes::from(vec![n])
}

#[test]
fn pieces_that_differ_each_time_leave_the_list_alone() {
    let (mut doubts, now) = (ListDoubts::default(), Instant::now());
    for n in 0..200 {
        assert!(!doubts.record(u32::from(n % 2), spoilt(n), now));
        assert!(!doubts.is_recheck_due(0, now + MAX_DOUBT_DELAY));
    }
}

#[test]
fn the_same_content_twice_puts_the_list_in_doubt() {
    let (mut doubts, now) = (ListDoubts::default(), Instant::now());
    assert!(!doubts.record(7, SOUND, now));
    assert!(doubts.record(7, SOUND, now));
    assert!(!doubts.record(8, SOUND, now));
}

/// Each piece may be doubted by its owner at the same time.
#[test]
fn members_request_the_list_one_after_the_other() {
    let (mut doubts, now) = (ListDoubts::default(), Instant::now());
    doubts.record(7, SOUND, now);
    doubts.record(7, SOUND, now);
    assert!(doubts.is_recheck_due(0, now));
    assert!(!doubts.is_recheck_due(1, now));
    assert!(doubts.is_recheck_due(1, now + DOUBT_STEP));
    assert!(doubts.is_recheck_due(1000, now + MAX_DOUBT_DELAY));
    doubts.record_request(now);
    assert!(!doubts.is_recheck_due(0, now + RECHECK_INTERVAL / 2));
    assert!(doubts.is_recheck_due(0, now + RECHECK_INTERVAL));
}

#[test]
fn content_that_matches_a_corrected_list_is_used() {
    let (mut doubts, now) = (ListDoubts::default(), Instant::now());
    doubts.record(0, spoilt(1), now);
    doubts.record(1, SOUND, now);
    doubts.record(1, SOUND, now);
    let digests = [Digest::of(b"other"), Digest::of(&SOUND)];
    assert_eq!(doubts.take_matching(&digests), [(1, SOUND)]);
    assert!(!doubts.is_recheck_due(0, now + MAX_DOUBT_DELAY));
}

/// An origin may spoil a piece in the same way each time.
#[test]
fn a_list_that_does_not_differ_is_not_requested_again_soon() {
    let (mut doubts, now) = (ListDoubts::default(), Instant::now());
    doubts.record_confirmed(now);
    doubts.record(1, SOUND, now);
    doubts.record(1, SOUND, now);
    assert!(!doubts.is_recheck_due(0, now + CONFIRMED_INTERVAL / 2));
    assert!(doubts.is_recheck_due(0, now + CONFIRMED_INTERVAL));
}
