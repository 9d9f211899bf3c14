use super::*;

const V1: &str = "m@v1";
const V2: &str = "m@v2";

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn replica(serving: &str, outcome: Option<Trialled>) -> Replica {
    let verdict = outcome.map(|outcome| Verdict { release: release(V2), outcome });
    Replica {
        serving: serving.parse().ok(),
        target: V2.parse().ok(),
        manifest_revision: Revision(1),
        unavailable: false,
        verdict,
    }
}

fn open(turn: SwitchPolicy, replicas: &[Replica]) -> Vec<usize> {
    (0..replicas.len()).filter(|&me| may_switch(turn, &release(V2), replicas, me)).collect()
}

#[test]
fn the_others_wait_for_the_canary() {
    let turn = SwitchPolicy { canary: 1, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    assert_eq!(open(turn, &replicas), [0]);
    replicas[0] = replica(V2, None);
    assert_eq!(open(turn, &replicas), [0]);
    replicas[0] = replica(V2, Some(Trialled::Passed));
    assert_eq!(open(turn, &replicas), [0, 1, 2]);
    replicas[2] = replica(V2, None);
    assert_eq!(open(turn, &replicas), [0, 1, 2, 3]);
}

#[test]
fn a_failed_canary_halts_the_release() {
    let turn = SwitchPolicy { canary: 1, floor: 1 };
    let mut replicas = vec![replica(V1, None); 4];
    replicas[0] = replica(V1, Some(Trialled::Failed));
    assert!(is_halted(1, &release(V2), &replicas));
    assert!(open(turn, &replicas).is_empty());
    assert_eq!(fallback_release(&release(V2), &replicas), Some(release(V1)));
    // One failure of three canaries is outvoted.
    assert!(!is_halted(3, &release(V2), &replicas));
    replicas[1] = replica(V2, Some(Trialled::Passed));
    replicas[2] = replica(V2, Some(Trialled::Passed));
    assert_eq!(open(SwitchPolicy { canary: 3, floor: 1 }, &replicas), [0, 1, 2, 3]);
    // Later failures that outnumber the successes stop it again.
    replicas.extend(vec![replica(V1, Some(Trialled::Failed)); 2]);
    assert!(is_halted(3, &release(V2), &replicas));
}

#[test]
fn dead_replicas_do_not_count_as_ready() {
    let turn = SwitchPolicy { canary: 1, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[0] = replica(V2, Some(Trialled::Passed));
    replicas[4].unavailable = true;
    assert_eq!(open(turn, &replicas), [0, 1]);
    replicas[3].unavailable = true;
    assert!(open(turn, &replicas).is_empty());
}

#[test]
fn replicas_that_want_another_release_do_not_count_as_ready() {
    let turn = SwitchPolicy { canary: 0, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    assert_eq!(open(turn, &replicas), [0, 1]);
    replicas[4].target = Some(release(V1));
    assert_eq!(open(turn, &replicas), [0]);
}

#[test]
fn news_from_under_an_older_manifest_does_not_count_as_ready() {
    let turn = SwitchPolicy { canary: 0, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[1].manifest_revision = Revision(2);
    assert_eq!(open(turn, &replicas), [0]);
    for after in &mut replicas[2..] {
        after.manifest_revision = Revision(2);
    }
    assert_eq!(open(turn, &replicas), [0, 1]);
}

#[test]
fn dead_canaries_are_replaced_by_a_bounded_number() {
    let turn = SwitchPolicy { canary: 1, floor: 1 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[0].unavailable = true;
    assert_eq!(open(turn, &replicas), [1]);
    replicas[1].unavailable = true;
    assert!(open(turn, &replicas).is_empty());
}

#[test]
fn a_first_rollout_waits_for_nobody() {
    let turn = SwitchPolicy { canary: 1, floor: 2 };
    let mut replicas = vec![Replica::default(); 3];
    assert_eq!(open(turn, &replicas), [0, 1, 2]);
    replicas[1] = replica(V2, None);
    assert_eq!(open(turn, &replicas), [0, 1, 2]);
    replicas[0] = replica("", Some(Trialled::Failed));
    replicas[1] = replica("", Some(Trialled::Failed));
    assert!(!is_halted(1, &release(V2), &replicas));
    assert_eq!(open(turn, &replicas), [0, 1, 2]);
}

/// Changes by which the news of a VM may be late.
const OLDEST: usize = 60;

/// Runs a rollout in which each VM decides on a random earlier state of the others.
fn least_ready(seed: u64) -> (usize, usize, bool) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = rng.usize(2..12);
    let turn = SwitchPolicy { canary: rng.usize(0..3), floor: rng.usize(0..n) };
    let mut history = vec![vec![replica(V1, None); n]];
    let mut least = n;
    for _ in 0..2000 {
        let now = history.last().unwrap().clone();
        let me = rng.usize(..n);
        let mut view =
            history[rng.usize(history.len().saturating_sub(OLDEST)..history.len())].clone();
        view[me] = now[me].clone();
        let mut next = now.clone();
        match (&now[me].serving, &now[me].verdict) {
            (None, _) => next[me] = replica(V2, None),
            (Some(serving), None) if serving.as_str() == V2 => {
                next[me] = replica(V2, Some(Trialled::Passed));
            }
            (Some(serving), _)
                if serving.as_str() == V1 && may_switch(turn, &release(V2), &view, me) =>
            {
                next[me].serving = None;
            }
            _ => {}
        }
        least = least.min(next.iter().filter(|r| r.serving.is_some()).count());
        history.push(next);
    }
    let done = history.last().unwrap().iter().all(|r| r.serving == Some(release(V2)));
    (least, turn.floor, done)
}

#[test]
fn the_floor_holds_though_each_knows_old_news() {
    for seed in 0..150 {
        let (least, floor, done) = least_ready(seed);
        assert!(least >= floor, "seed {seed}: {least} ready, floor {floor}");
        assert!(done, "seed {seed}: the rollout did not end");
    }
}
