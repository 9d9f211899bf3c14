use super::*;

const MARGIN: Duration = Duration::from_millis(1500);

fn model() -> ModelId {
    "m".parse().unwrap()
}

#[test]
fn older_weights_may_answer_until_shortly_before_the_bound() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    let at = start + Duration::from_secs(20);
    assert!(named.named(&model(), WeightsVersion(2), false, at));
    assert!(!named.named(&model(), WeightsVersion(1), false, at));
    let (version, from) = named.required(&model()).unwrap();
    assert_eq!((version, from), (WeightsVersion(2), at + Duration::from_millis(6500)));
}

#[test]
fn weights_that_lay_in_the_store_at_the_start_count_as_named_long_ago() {
    let start = Instant::now();
    let mut named = NamedWeights::new(Bounds::default(), MARGIN, start);
    named.named(&model(), WeightsVersion(2), true, start);
    let (_, from) = named.required(&model()).unwrap();
    assert!(from <= start + Bounds::default().contact);
    // An agent knows better.
    let now = start + Duration::from_secs(1);
    assert!(named.heard(&model(), Named { version: 2, age_ms: 2000 }, now));
    let (_, from) = named.required(&model()).unwrap();
    assert_eq!(from, start + Duration::from_millis(5500));
    assert!(!named.heard(&model(), Named { version: 2, age_ms: 0 }, now));
}
