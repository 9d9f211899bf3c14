use super::*;

const START: Position = Position { head: true, offset: 0 };

fn far_deadline() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[test]
fn a_second_reader_reads_on_where_the_first_was_cut() {
    let response = ResponseBuffer::new(false, Instant::now());
    let _first = response.reader();
    assert!(response.push(b"whole ", far_deadline()));
    assert_eq!(response.reader().next(&START, Duration::ZERO), ReadEvent::Data(b"whole ".into()));
    assert!(response.push(b"answer", far_deadline()));
    response.end(StreamEnd::Complete);
    let second = response.reader();
    let at = |offset| second.next(&Position { head: true, offset }, Duration::ZERO);
    assert_eq!(at(3), ReadEvent::Data(b"le answer".into()));
    assert_eq!(at(12), ReadEvent::End(StreamEnd::Complete));
    assert_eq!(at(13), ReadEvent::Evicted);
}

#[test]
fn bytes_that_were_dropped_are_lost_and_not_skipped() {
    let response = ResponseBuffer::new(true, Instant::now());
    for _ in 0..5 {
        assert!(response.push(&vec![b'x'; 1 << 20], far_deadline()));
    }
    let reader = response.reader();
    assert_eq!(reader.next(&START, Duration::ZERO), ReadEvent::Evicted);
    assert_eq!(response.buffered_bytes(), MAX_BUFFERED_BYTES);
    assert_eq!(response.length(), 5 << 20);
}

#[test]
fn an_unread_response_is_not_wanted_for_long() {
    let now = Instant::now();
    let response = ResponseBuffer::new(false, now);
    assert!(response.is_wanted(now + ORPHAN_TIMEOUT - Duration::from_millis(1)));
    assert!(!response.is_wanted(now + ORPHAN_TIMEOUT));
    let reader = response.reader();
    assert!(response.is_wanted(now + ORPHAN_TIMEOUT));
    response.cancel();
    assert!(!response.is_wanted(now));
    drop(reader);
    let detached = ResponseBuffer::new(true, now);
    detached.cancel();
    assert!(detached.is_wanted(now + ORPHAN_TIMEOUT), "a call that was sent cannot be taken back");
}
