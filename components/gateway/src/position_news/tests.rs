use platform::store::{StoreEra, StoreRevision};

use super::*;

const BOUND: Duration = Duration::from_secs(2);
const OTHER: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 2);
const THIRD: Ipv4Addr = Ipv4Addr::new(10, 0, 0, 3);

fn at(era: u64, revision: u64) -> StorePosition {
    StorePosition { era: StoreEra(era), revision: StoreRevision(revision) }
}

/// News of a gateway that knows the store up to revision 5 of era 1.
fn news(now: Instant) -> PositionNews {
    let mut news = PositionNews::new(NewsTimes::for_bound(BOUND));
    news.record_own(at(1, 5), now);
    news
}

#[test]
fn who_knows_more_is_asked_once_the_own_source_had_its_time() {
    let start = Instant::now();
    let mut news = news(start);
    news.record_remote(OTHER, at(1, 5), start);
    news.record_remote(OTHER, at(1, 4), start);
    assert_eq!(news.due_request(None), None);
    news.record_remote(OTHER, at(1, 7), start);
    let due = start + BOUND / 4;
    assert_eq!(news.due_request(None), Some((OTHER, due)));
    news.record_remote(THIRD, at(1, 9), due);
    assert_eq!(news.due_request(None), Some((OTHER, due)), "the first one counts");
    news.record_own(at(1, 6), due);
    assert_eq!(news.due_request(None), Some((OTHER, due)), "a part is not enough");
    news.record_own(at(1, 7), due);
    assert_eq!(news.due_request(None), None);
}

/// Guards against a gateway whose own source of changes is interrupted again and again to ask one that
/// does not answer.
#[test]
fn a_gateway_that_did_not_tell_what_it_announced_is_not_heard_for_a_while() {
    let start = Instant::now();
    let mut news = news(start);
    news.record_remote(OTHER, at(1, 7), start);
    news.record_failure(OTHER, start);
    assert_eq!(news.due_request(None), None);
    news.record_remote(OTHER, at(1, 8), start + BOUND);
    assert_eq!(news.due_request(None), None);
    news.record_remote(THIRD, at(1, 7), start + BOUND);
    assert_eq!(news.due_request(None), Some((THIRD, start + BOUND + BOUND / 4)));
    news.record_own(at(1, 7), start + BOUND);
    news.record_remote(OTHER, at(1, 8), start + BOUND * 2);
    assert_eq!(news.due_request(None), Some((OTHER, start + BOUND * 2 + BOUND / 4)));
}

#[test]
fn positions_of_another_era_are_left_to_the_reader_of_the_store() {
    let start = Instant::now();
    let mut news = news(start);
    news.record_remote(OTHER, at(2, 7), start);
    news.record_remote(OTHER, at(0, 7), start);
    assert_eq!(news.due_request(None), None);
    news.record_remote(OTHER, at(1, 7), start);
    news.record_own(at(2, 1), start);
    assert_eq!(news.due_request(None), None);
}

#[test]
fn a_position_is_announced_a_few_times_and_then_no_more() {
    let start = Instant::now();
    let mut news = news(start);
    let mut announced = 0;
    for ms in 0..10_000 {
        let now = start + Duration::from_millis(ms);
        if let Some(position) = news.take_announcement(now) {
            assert_eq!(position, at(1, 5));
            announced += 1;
        }
    }
    assert_eq!(announced, 8);
    news.record_own(at(1, 5), start + BOUND * 6);
    assert_eq!(news.take_announcement(start + BOUND * 6), None);
    news.record_own(at(1, 6), start + BOUND * 6);
    assert_eq!(news.take_announcement(start + BOUND * 6), Some(at(1, 6)));
}

#[test]
fn a_gateway_that_read_nothing_announces_nothing() {
    let mut news = PositionNews::new(NewsTimes::for_bound(BOUND));
    assert_eq!(news.take_announcement(Instant::now()), None);
}

/// Guards against a large answer that is thrown away while it arrives, to ask another gateway for the
/// same.
#[test]
fn no_other_gateway_is_asked_while_an_answer_makes_progress() {
    let start = Instant::now();
    let mut news = news(start);
    news.record_remote(OTHER, at(1, 7), start);
    let due = |received_at| news.due_request(Some(received_at)).unwrap().1;
    assert_eq!(due(start - BOUND), start + BOUND / 4, "an earlier answer does not count");
    for parts in 1..50 {
        let received_at = start + BOUND / 5 * parts;
        assert_eq!(due(received_at), received_at + BOUND / 4);
    }
}

/// Guards against a gateway that learns of changes through others only after the bound, though each
/// of the two is heard in the worst moment.
#[test]
fn changes_that_another_gateway_knows_are_asked_for_well_within_the_bound() {
    for seconds in [1, 2, 4, 10] {
        let bound = Duration::from_secs(seconds);
        let times = NewsTimes::for_bound(bound);
        assert!(times.interval + times.patience <= bound * 2 / 5);
        assert!(times.duration >= times.interval * 4);
    }
}
