//! The retry budget bounds the number of attempts, however many of them fail.

use fastrand::Rng;
use limits::{RetryBudget, RetrySettings};

const REQUESTS: u32 = 20_000;

/// Number of attempts for `REQUESTS` requests if each attempt fails with probability `failing` and
/// a request is tried until it succeeds or the budget is used up.
fn attempts(failing: f64, seed: u64) -> u32 {
    let mut budget = RetryBudget::new(RetrySettings::default());
    let mut rng = Rng::with_seed(seed);
    let mut attempts = 0;
    for _ in 0..REQUESTS {
        for nth in 0.. {
            attempts += 1;
            if rng.f64() >= failing {
                budget.record_success();
                break;
            }
            if budget.try_take(nth, &mut rng).is_none() {
                break;
            }
        }
    }
    attempts
}

#[test]
fn attempts_stay_within_a_fifth_more_when_half_of_them_fail() {
    for seed in 1..=5 {
        let attempts = attempts(0.5, seed);
        assert!(f64::from(attempts) <= f64::from(REQUESTS) * 1.2, "{attempts}, seed {seed}");
    }
}

#[test]
fn nothing_is_retried_for_long_when_all_fail() {
    let attempts = attempts(1.0, 1);
    assert!(f64::from(attempts) <= f64::from(REQUESTS) * 1.01, "{attempts}");
}

#[test]
fn backoffs_grow_and_differ() {
    let settings = RetrySettings { burst: 1000.0, ..RetrySettings::default() };
    let mut budget = RetryBudget::new(settings);
    let mut rng = Rng::with_seed(1);
    let waits: Vec<_> = (0..100).map(|_| budget.try_take(2, &mut rng).unwrap()).collect();
    let (least, most) = (*waits.iter().min().unwrap(), *waits.iter().max().unwrap());
    assert!(least >= settings.backoff * 2 && most <= settings.backoff * 4);
    assert!(most > least * 3 / 2, "{least:?} {most:?}");
    assert!(budget.try_take(30, &mut rng).unwrap() <= settings.max_backoff);
}
