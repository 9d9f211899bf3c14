//! Guards against weights that are checked too slowly, as an endpoint takes long for each piece.

use super::*;

/// Runs `total` reads that each take `read_time`, and returns how long all take and the next limit.
fn run(total: usize, limit: usize, read_time: Duration) -> (Duration, usize) {
    let start = Instant::now();
    let mut now = start;
    let mut pace = ReadPace::new(total, limit, now);
    let mut begun = 0;
    let mut ends = std::collections::VecDeque::new();
    loop {
        while ends.len() < pace.limit() && begun < total {
            ends.push_back(now + read_time);
            begun += 1;
        }
        let Some(end) = ends.front().copied() else { break };
        now = end.min(pace.silent_at());
        if now == end {
            ends.pop_front();
            pace.record_end(now);
        } else {
            pace.record_silence(total - begun, now);
        }
    }
    (now - start, pace.next_limit(now))
}

#[test]
fn fast_reads_run_one_after_the_other() {
    let (took, limit) = run(64, 1, Duration::from_millis(10));
    assert_eq!(took, Duration::from_millis(640));
    assert_eq!(limit, 1);
}

#[test]
fn reads_that_are_slow_at_first_are_in_time_the_next_time() {
    let read_time = Duration::from_millis(1900);
    let (took, limit) = run(6, 1, read_time);
    assert!(took < read_time + Duration::from_secs(1), "{took:?}");
    assert_eq!(run(6, limit, read_time).0, read_time);
}

#[test]
fn there_are_never_more_reads_than_the_maximum() {
    let (_, limit) = run(10 * MAX_READS, 1, Duration::from_secs(2));
    assert_eq!(limit, MAX_READS);
}
