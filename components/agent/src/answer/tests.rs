use super::*;

const START: Position = Position { head: true, offset: 0 };

fn far() -> Instant {
    Instant::now() + Duration::from_secs(60)
}

#[test]
fn a_second_reader_reads_on_where_the_first_was_cut() {
    let answer = Answer::new(false, Instant::now());
    let _first = answer.reader();
    assert!(answer.push(b"whole ", far()));
    assert_eq!(answer.reader().next(&START, Duration::ZERO), Step::Data(b"whole ".into()));
    assert!(answer.push(b"answer", far()));
    answer.end(Ending::Whole);
    let second = answer.reader();
    let at = |offset| second.next(&Position { head: true, offset }, Duration::ZERO);
    assert_eq!(at(3), Step::Data(b"le answer".into()));
    assert_eq!(at(12), Step::End(Ending::Whole));
    assert_eq!(at(13), Step::Lost);
}

#[test]
fn bytes_that_were_dropped_are_lost_and_not_skipped() {
    let answer = Answer::new(true, Instant::now());
    for _ in 0..5 {
        assert!(answer.push(&vec![b'x'; 1 << 20], far()));
    }
    let reader = answer.reader();
    assert_eq!(reader.next(&START, Duration::ZERO), Step::Lost);
    assert_eq!(answer.size(), KEPT);
    assert_eq!(answer.length(), 5 << 20);
}

#[test]
fn an_answer_that_nobody_reads_is_not_wanted_for_long() {
    let now = Instant::now();
    let answer = Answer::new(false, now);
    assert!(answer.wanted(now + ORPHAN - Duration::from_millis(1)));
    assert!(!answer.wanted(now + ORPHAN));
    let reader = answer.reader();
    assert!(answer.wanted(now + ORPHAN));
    answer.stop();
    assert!(!answer.wanted(now));
    drop(reader);
    let detached = Answer::new(true, now);
    detached.stop();
    assert!(detached.wanted(now + ORPHAN), "a call that was sent cannot be taken back");
}
