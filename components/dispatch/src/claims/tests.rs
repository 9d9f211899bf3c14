use super::*;

/// Fifteen gateways learn at once that an endpoint has two free slots.
#[test]
fn gateways_together_claim_about_as_many_slots_as_are_free() {
    let mut rng = fastrand::Rng::with_seed(7);
    let reports = 1000;
    let claimed: u32 = (0..reports * 15).map(|_| Claims::share(2.0, 15, rng.f64()).left).sum();
    let mean = f64::from(claimed) / f64::from(reports);
    assert!((1.8..2.2).contains(&mean), "{mean}");
}

#[test]
fn an_endpoint_without_a_free_slot_gives_no_claim() {
    assert_eq!(Claims::share(0.0, 3, 0.999).left, 0);
    assert_eq!(Claims::share(9.0, 3, 0.0).left, 3);
}

/// Short answers end before the next report.
#[test]
fn a_slot_that_is_free_again_may_be_taken_again() {
    let mut claims = Claims::share(1.0, 1, 0.0);
    claims.take();
    assert_eq!(claims.left, 0);
    claims.give_back();
    claims.give_back();
    assert_eq!(claims.left, 1);
}
