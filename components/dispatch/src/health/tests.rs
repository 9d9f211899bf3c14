use super::*;

#[test]
fn consecutive_losses_start_a_cooldown() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_result(EndpointOutcome::Lost, now);
    assert!(health.is_available(now));
    health.record_result(EndpointOutcome::Lost, now);
    assert!(!health.is_available(now));
    assert!(health.is_available(now + COOLDOWN));
    health.record_result(EndpointOutcome::Lost, now);
    assert!(!health.is_available(now + COOLDOWN));
    health.record_result(EndpointOutcome::Answered, now);
    assert!(health.is_available(now));
}

#[test]
fn the_failure_rate_decays_with_answers() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..30 {
        health.record_result(EndpointOutcome::Failed, now);
    }
    assert!(health.failure_rate() > 0.9);
    assert!(health.is_available(now));
    for _ in 0..30 {
        health.record_result(EndpointOutcome::Answered, now);
    }
    assert!(health.failure_rate() < 0.1);
}

#[test]
fn a_refusal_pauses_for_a_moment() {
    let now = Instant::now();
    let mut health = Health::default();
    health.record_result(EndpointOutcome::Refused, now);
    assert!(!health.is_available(now));
    assert!(health.is_available(now + REFUSAL_PAUSE));
    // Consecutive refusals lengthen the pause.
    health.record_result(EndpointOutcome::Refused, now + REFUSAL_PAUSE);
    assert!(!health.is_available(now + REFUSAL_PAUSE * 2));
    assert!(health.is_available(now + REFUSAL_PAUSE * 3));
    health.record_result(EndpointOutcome::Answered, now + REFUSAL_PAUSE);
    assert!(health.is_available(now + REFUSAL_PAUSE));
}
