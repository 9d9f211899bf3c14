use super::*;

const WITHIN: Duration = Duration::from_secs(1);

fn deadline(start: Instant) -> (BodyDeadline, ReceiveProgress) {
    let progress = ReceiveProgress::default();
    let limit = BodyLimit::Stalled { within: WITHIN, progress: progress.clone() };
    (BodyDeadline::new(limit, start), progress)
}

#[test]
fn a_body_that_makes_progress_may_take_any_time() {
    let start = Instant::now();
    let (mut deadline, progress) = deadline(start);
    for part in 1..100 {
        let now = start + WITHIN * 9 / 10 * part;
        assert!(now < deadline.due());
        deadline.record(PROGRESS_BYTES, now);
        assert_eq!(deadline.due(), now + WITHIN);
        assert_eq!(progress.last(), Some(now));
    }
}

/// Guards against a peer that keeps a call open for ever with a few bytes at a time.
#[test]
fn a_body_of_which_little_arrives_counts_as_lost() {
    let start = Instant::now();
    let (mut deadline, progress) = deadline(start);
    for ms in (0..1000).step_by(100) {
        deadline.record(PROGRESS_BYTES / 11, start + Duration::from_millis(ms));
    }
    assert_eq!(deadline.due(), start + WITHIN);
    assert_eq!(progress.last(), None);
}

#[test]
fn a_body_that_must_be_complete_by_a_time_gets_no_more() {
    let start = Instant::now();
    let mut deadline = BodyDeadline::new(CallLimits::from(start + WITHIN).body, start);
    deadline.record(PROGRESS_BYTES * 10, start);
    assert_eq!(deadline.due(), start + WITHIN);
}
