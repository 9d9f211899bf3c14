use super::*;

const PREFERRED: Relation = Relation::Preferred;

#[test]
fn most_requests_begin_within_the_corrected_prediction() {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(3);
    let mut bias = PredictionBias::default();
    let mut within = 0;
    for i in 0..4000 {
        let error = rng.f64() * 0.75 * MAX_CORRECTION_MS;
        within += usize::from(i >= 1000 && error <= bias.correction_ms(now));
        bias.record_error(PREFERRED, error, now);
    }
    let fraction = within as f64 / 3000.0;
    assert!((0.8..0.9).contains(&fraction), "{fraction}");
}

#[test]
fn good_predictions_need_no_correction() {
    let now = Instant::now();
    let mut bias = PredictionBias::default();
    (0..50).for_each(|_| bias.record_error(PREFERRED, 500.0, now));
    assert_eq!(bias.correction_ms(now), MAX_CORRECTION_MS);
    (0..1000).for_each(|_| bias.record_error(PREFERRED, 0.0, now));
    assert_eq!(bias.correction_ms(now), 0.0);
}

/// Gateways of other zones learn late what is sent to an endpoint: their predictions were wrong by
/// 650 ms at the median while the fleet was full, and all sent to the endpoints that looked free.
#[test]
fn predictions_for_shared_endpoints_are_corrected_by_more_and_trusted_again_later() {
    let now = Instant::now();
    let mut bias = PredictionBias::default();
    (0..100).for_each(|_| bias.record_error(Relation::OtherZone, 2000.0, now));
    assert_eq!(bias.correction_ms(now), MAX_SHARED_CORRECTION_MS);
    assert!(bias.correction_ms(now + HALF_LIFE * 6) < 0.02 * MAX_SHARED_CORRECTION_MS);
}
