use super::*;

/// Fifteen gateways learn at once that an endpoint has two free slots.
#[test]
fn gateways_together_claim_about_as_many_slots_as_are_free() {
    let mut rng = fastrand::Rng::with_seed(7);
    let reports = 1000;
    let claimed: u32 = (0..reports * 15).map(|_| Claims::share(2.0, 15, rng.f64()).0).sum();
    let mean = f64::from(claimed) / f64::from(reports);
    assert!((1.8..2.2).contains(&mean), "{mean}");
}

#[test]
fn an_endpoint_without_a_free_slot_gives_no_claim() {
    assert_eq!(Claims::share(0.0, 3, 0.999), Claims(0));
    assert_eq!(Claims::share(9.0, 3, 0.0), Claims(3));
}
