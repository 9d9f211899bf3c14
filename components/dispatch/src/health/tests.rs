use super::*;

#[test]
fn one_loss_is_forgiven_and_more_in_a_row_are_not() {
    let now = Instant::now();
    let mut health = Health::default();
    health.ended(End::Lost, now);
    assert!(health.allows(now));
    health.ended(End::Lost, now);
    assert!(!health.allows(now));
    assert!(health.allows(now + COOLDOWN));
    health.ended(End::Lost, now);
    assert!(!health.allows(now + COOLDOWN));
    health.ended(End::Answered, now);
    assert!(health.allows(now));
}

#[test]
fn failures_fade_with_good_answers() {
    let now = Instant::now();
    let mut health = Health::default();
    for _ in 0..30 {
        health.ended(End::Failed, now);
    }
    assert!(health.failures() > 0.9);
    assert!(health.allows(now));
    for _ in 0..30 {
        health.ended(End::Answered, now);
    }
    assert!(health.failures() < 0.1);
}

#[test]
fn a_refusal_pauses_for_a_moment() {
    let now = Instant::now();
    let mut health = Health::default();
    health.ended(End::Refused, now);
    assert!(!health.allows(now));
    assert!(health.allows(now + REFUSED));
    // One that refuses again and again pauses for longer.
    health.ended(End::Refused, now + REFUSED);
    assert!(!health.allows(now + REFUSED * 2));
    assert!(health.allows(now + REFUSED * 3));
    health.ended(End::Answered, now + REFUSED);
    assert!(health.allows(now + REFUSED));
}
