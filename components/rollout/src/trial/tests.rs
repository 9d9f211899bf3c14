use super::*;

const SOAK: Duration = Duration::from_secs(5);

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn outcome(trial: &Trial, name: &str) -> Option<TrialOutcome> {
    trial.verdict(&release(name)).map(|v| v.outcome)
}

#[test]
fn a_release_passes_after_the_soak_time() {
    let now = Instant::now();
    let (mut trial, v2) = (Trial::default(), release("m@v2"));
    trial.activation_ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.observe(Some(&v2), SOAK, now + SOAK / 2);
    assert_eq!(outcome(&trial, "m@v2"), None);
    trial.observe(Some(&v2), SOAK, now + SOAK);
    assert_eq!(outcome(&trial, "m@v2"), Some(TrialOutcome::Passed));
    // A later crash is attributed to the machine, not the release.
    trial.observe(None, SOAK, now + SOAK * 2);
    assert_eq!(outcome(&trial, "m@v2"), Some(TrialOutcome::Passed));
}

#[test]
fn a_release_fails_after_two_failures_and_stays_failed() {
    let now = Instant::now();
    let (mut trial, v1, v2) = (Trial::default(), release("m@v1"), release("m@v2"));
    trial.activation_ordered(&v2);
    trial.observe(Some(&v1), SOAK, now);
    assert_eq!(outcome(&trial, "m@v2"), None);
    trial.activation_ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.observe(None, SOAK, now + SOAK / 2);
    assert_eq!(outcome(&trial, "m@v2"), Some(TrialOutcome::Failed));
    trial.activation_ordered(&v1);
    trial.observe(Some(&v1), SOAK, now);
    assert_eq!(outcome(&trial, "m@v2"), Some(TrialOutcome::Failed));
}

#[test]
fn an_ordered_unload_does_not_count_as_failure() {
    let now = Instant::now();
    let (mut trial, v2) = (Trial::default(), release("m@v2"));
    trial.activation_ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.unload_ordered();
    for _ in 0..3 {
        trial.observe(None, SOAK, now);
    }
    assert_eq!(outcome(&trial, "m@v2"), None);
}
