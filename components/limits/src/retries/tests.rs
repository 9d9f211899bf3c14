use super::*;

#[test]
fn retries_are_a_fraction_of_successes() {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = Rng::with_seed(1);
    let mut taken = 0;
    for _ in 0..1000 {
        budget.record_success();
        taken += usize::from(budget.try_take(0, &mut rng).is_some());
    }
    assert!(taken <= 120, "{taken}");
}
