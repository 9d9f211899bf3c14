use super::*;

#[test]
fn most_requests_begin_within_the_corrected_prediction() {
    let mut rng = fastrand::Rng::with_seed(3);
    let mut bias = PredictionBias::default();
    let mut within = 0;
    for i in 0..4000 {
        let error = rng.f64() * 0.75 * MAX_CORRECTION_MS;
        within += usize::from(i >= 1000 && error <= bias.correction_ms());
        bias.record_error(error);
    }
    let fraction = within as f64 / 3000.0;
    assert!((0.8..0.9).contains(&fraction), "{fraction}");
}

#[test]
fn good_predictions_need_no_correction() {
    let mut bias = PredictionBias::default();
    (0..50).for_each(|_| bias.record_error(500.0));
    assert_eq!(bias.correction_ms(), MAX_CORRECTION_MS);
    (0..1000).for_each(|_| bias.record_error(0.0));
    assert_eq!(bias.correction_ms(), 0.0);
}
