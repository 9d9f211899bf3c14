use std::time::Duration;

use catalog::{Homes, Priority};

use super::*;
use crate::{Rank, Urgency};

fn request(urgency: u8, homes: Homes, now: Instant) -> PendingRequest {
    PendingRequest {
        service: "llm".parse().unwrap(),
        size: None,
        requested_at: now,
        arrived_at: now,
        latency_objective: Duration::from_millis(400),
        max_event_gap: None,
        deadline: now + Duration::from_secs(6),
        is_resumed: false,
        was_refused: false,
        homes,
        workspace: None,
        tried: Vec::new(),
        rank: Rank { urgency: Urgency::new(None, Priority(urgency)), was_refused: false },
    }
}

/// Requests of all urgencies arrive while more urgent ones wait for the next free slot.
#[test]
fn a_request_queues_behind_those_that_are_as_urgent_and_wait_for_the_same_endpoints() {
    let now = Instant::now();
    let waiting = request(1, Homes::ANYWHERE, now);
    assert!(waiting.competes_before(&request(1, Homes::ANYWHERE, now)));
    assert!(waiting.competes_before(&request(2, Homes::ANYWHERE, now)));
    assert!(!waiting.competes_before(&request(0, Homes::ANYWHERE, now)));
}

/// Requests that are bound to a lost region wait; others could be sent.
#[test]
fn a_request_does_not_queue_behind_those_that_wait_for_other_endpoints() {
    let now = Instant::now();
    let bound = request(0, Homes::only(["lost".parse().unwrap()]), now);
    assert!(!bound.competes_before(&request(1, Homes::ANYWHERE, now)));
}
