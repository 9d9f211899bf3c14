use super::*;

const SOAK: Duration = Duration::from_secs(5);

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn outcome(trial: &Trial, name: &str) -> Option<Trialled> {
    trial.verdict(&release(name)).map(|v| v.outcome)
}

#[test]
fn a_release_passes_after_the_soak_time() {
    let now = Instant::now();
    let (mut trial, v2) = (Trial::default(), release("m@v2"));
    trial.ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.observe(Some(&v2), SOAK, now + SOAK / 2);
    assert_eq!(outcome(&trial, "m@v2"), None);
    trial.observe(Some(&v2), SOAK, now + SOAK);
    assert_eq!(outcome(&trial, "m@v2"), Some(Trialled::Passed));
    // A crash after that is the machine's.
    trial.observe(None, SOAK, now + SOAK * 2);
    assert_eq!(outcome(&trial, "m@v2"), Some(Trialled::Passed));
}

#[test]
fn a_release_fails_at_the_second_failure_and_is_remembered() {
    let now = Instant::now();
    let (mut trial, v1, v2) = (Trial::default(), release("m@v1"), release("m@v2"));
    trial.ordered(&v2);
    trial.observe(Some(&v1), SOAK, now);
    assert_eq!(outcome(&trial, "m@v2"), None);
    trial.ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.observe(None, SOAK, now + SOAK / 2);
    assert_eq!(outcome(&trial, "m@v2"), Some(Trialled::Failed));
    trial.ordered(&v1);
    trial.observe(Some(&v1), SOAK, now);
    assert_eq!(outcome(&trial, "m@v2"), Some(Trialled::Failed));
}

#[test]
fn a_planned_unload_is_no_failure() {
    let now = Instant::now();
    let (mut trial, v2) = (Trial::default(), release("m@v2"));
    trial.ordered(&v2);
    trial.observe(Some(&v2), SOAK, now);
    trial.unloaded();
    for _ in 0..3 {
        trial.observe(None, SOAK, now);
    }
    assert_eq!(outcome(&trial, "m@v2"), None);
}
