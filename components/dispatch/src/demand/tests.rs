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

/// Sustained overload, in which the least urgent requests were never refused and the most urgent ones
/// most often.
#[test]
fn less_urgent_requests_keep_more_slots_free() {
    let now = Instant::now();
    let mut demand = busy(now);
    for _ in 0..20 {
        (0..3).for_each(|route| demand.record_sent(urgency(route), now));
    }
    let kept = [0, 1, 2].map(|route| demand.kept_free(urgency(route), now));
    assert_eq!(kept[0], 0.0);
    assert!(0.0 < kept[1] && kept[1] < kept[2], "{kept:?}");
}

/// So much urgent demand that nothing else would be served.
#[test]
fn requests_of_an_urgency_that_is_hardly_served_keep_no_slot_free() {
    let now = Instant::now();
    let mut demand = busy(now);
    assert_eq!(demand.kept_free(urgency(2), now), 0.0);
    (0..10).for_each(|_| demand.record_sent(urgency(2), now));
    assert!(demand.kept_free(urgency(2), now) > 0.0);
}

#[test]
fn nothing_is_kept_free_without_more_urgent_requests() {
    let now = Instant::now();
    let mut demand = busy(now);
    let later = now + Duration::from_secs(20);
    for _ in 0..10 {
        demand.record_arrival(urgency(2), later);
        demand.record_sent(urgency(2), later);
    }
    assert_eq!(demand.kept_free(urgency(2), later), 0.0);
}

#[test]
fn the_priority_of_a_workspace_comes_before_that_of_a_route() {
    let urgent_workspace = Urgency::new(Some(Priority(0)), Priority(2));
    let urgent_route = Urgency::new(Some(Priority(1)), Priority(0));
    assert!(urgent_workspace < urgent_route);
    assert!(Urgency::new(None, Priority(0)) < urgent_workspace);
}

/// Many workspaces come and go.
#[test]
fn the_number_of_known_workspaces_is_bounded() {
    let now = Instant::now();
    let mut demand = ServiceDemand::default();
    for n in 0..5000u32 {
        let workspace = format!("w{n}").parse().unwrap();
        demand.record_work(Some(&workspace), Work(f64::from(n % 7)), now);
    }
    assert!(demand.workspaces.len() <= MAX_WORKSPACES);
}
