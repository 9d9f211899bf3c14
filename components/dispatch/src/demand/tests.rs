use catalog::Priority;

use super::*;

fn urgency(route: u8) -> Urgency {
    Urgency::new(Some(Priority(1)), Priority(route))
}

/// Requests of three urgencies arrive at the same rate.
fn busy(now: Instant) -> ServiceDemand {
    let mut demand = ServiceDemand::default();
    for _ in 0..20 {
        (0..3).for_each(|route| demand.record_arrival(urgency(route), now));
    }
    demand
}

#[test]
fn less_urgent_requests_leave_more_slots_free() {
    let now = Instant::now();
    let mut demand = busy(now);
    for _ in 0..20 {
        (0..3).for_each(|route| demand.record_sent(urgency(route), None, 1.0, now));
    }
    let reserved = [0, 1, 2].map(|route| demand.reserved_slots(urgency(route), now));
    assert_eq!(reserved[0], 0.0);
    assert!(0.0 < reserved[1] && reserved[1] < reserved[2], "{reserved:?}");
}

#[test]
fn requests_of_an_urgency_that_is_hardly_served_leave_no_slot_free() {
    let now = Instant::now();
    let mut demand = busy(now);
    assert_eq!(demand.reserved_slots(urgency(2), now), 0.0);
    (0..10).for_each(|_| demand.record_sent(urgency(2), None, 1.0, now));
    assert!(demand.reserved_slots(urgency(2), now) > 0.0);
}

#[test]
fn nothing_is_left_free_once_more_urgent_requests_stay_away() {
    let now = Instant::now();
    let mut demand = busy(now);
    let later = now + Duration::from_secs(20);
    for _ in 0..10 {
        demand.record_arrival(urgency(2), later);
        demand.record_sent(urgency(2), None, 1.0, later);
    }
    assert_eq!(demand.reserved_slots(urgency(2), later), 0.0);
}

#[test]
fn the_priority_of_a_workspace_comes_before_that_of_a_route() {
    let urgent_workspace = Urgency::new(Some(Priority(0)), Priority(2));
    let urgent_route = Urgency::new(Some(Priority(1)), Priority(0));
    assert!(urgent_workspace < urgent_route);
    assert!(Urgency::new(None, Priority(0)) < urgent_workspace);
}
