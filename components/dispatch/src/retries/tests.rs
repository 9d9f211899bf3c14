use super::*;

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn budget(gateways: u32) -> RetryBudget {
    let settings =
        RetrySettings { ratio: 0.2, extra: 20.0, used_fraction: 1.0, ..Default::default() };
    let mut budget = RetryBudget::new(settings);
    budget.set_gateways(gateways);
    budget
}

fn taken(budget: &mut RetryBudget, now: Instant) -> usize {
    (0..1000).filter(|_| budget.try_take(&service(), now)).count()
}

#[test]
fn retries_grow_with_requests_and_entries_share_the_extra() {
    let now = Instant::now();
    let mut alone = budget(1);
    (0..50).for_each(|_| alone.record_request(&service(), now));
    assert_eq!(taken(&mut alone, now), 30);
    let mut one_of_four = budget(4);
    assert_eq!(taken(&mut one_of_four, now), 5);
}

#[test]
fn the_window_slides() {
    let now = Instant::now();
    let mut budget = budget(1);
    assert_eq!(taken(&mut budget, now), 20);
    let later = now + Duration::from_secs(9);
    assert_eq!(taken(&mut budget, later), 0);
    let after = now + Duration::from_secs(10);
    assert_eq!(taken(&mut budget, after), 20);
}

#[test]
fn services_have_budgets_of_their_own() {
    let now = Instant::now();
    let mut budget = budget(1);
    taken(&mut budget, now);
    assert!(budget.try_take(&"other".parse().unwrap(), now));
}

#[test]
fn a_retry_that_was_given_back_is_left_again() {
    let start = Instant::now();
    let later = start + Duration::from_millis(1);
    let mut budget = budget(10);
    assert!(budget.try_take(&service(), start) && budget.try_take(&service(), later));
    assert!(!budget.try_take(&service(), later));
    budget.give_back(&service(), start);
    budget.give_back(&service(), start);
    assert!(budget.try_take(&service(), later));
    assert!(!budget.try_take(&service(), later), "one was given back, however often that was said");
}
