use super::*;

/// Time within which a document must be in force everywhere.
const BOUND: Duration = Duration::from_secs(10);
/// Time that gossip takes at the size of docs/CAPACITY.md.
const GOSSIP_TIME: Duration = Duration::from_secs(3);

/// Guards against a watch whose time limits are longer than a document may take.
#[test]
fn a_lost_answer_of_the_service_is_missed_well_within_the_bound() {
    assert!(WATCH_TIME < READ_TIMEOUT);
    assert!(READ_TIMEOUT + MIN_RETRY_DELAY + GOSSIP_TIME < BOUND);
}
