use super::*;

const V1: &str = "m@v1";
const V2: &str = "m@v2";

fn release(s: &str) -> ReleaseId {
    s.parse().unwrap()
}

fn replica(serving: &str, outcome: Option<TrialOutcome>) -> Replica {
    let verdict = outcome.map(|outcome| Verdict { release: release(V2), outcome });
    Replica {
        serving: serving.parse().ok(),
        target: V2.parse().ok(),
        manifest_revision: Revision(1),
        unavailable: false,
        verdict,
    }
}

fn permitted(policy: SwitchPolicy, replicas: &[Replica]) -> Vec<usize> {
    (0..replicas.len()).filter(|&i| may_switch(policy, &release(V2), replicas, i)).collect()
}

#[test]
fn other_vms_wait_for_the_canary() {
    let policy = SwitchPolicy { canary: 1, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    assert_eq!(permitted(policy, &replicas), [0]);
    replicas[0] = replica(V2, None);
    assert_eq!(permitted(policy, &replicas), [0]);
    replicas[0] = replica(V2, Some(TrialOutcome::Passed));
    assert_eq!(permitted(policy, &replicas), [0, 1, 2]);
    replicas[2] = replica(V2, None);
    assert_eq!(permitted(policy, &replicas), [0, 1, 2, 3]);
}

#[test]
fn a_failed_canary_halts_the_release() {
    let policy = SwitchPolicy { canary: 1, floor: 1 };
    let mut replicas = vec![replica(V1, None); 4];
    replicas[0] = replica(V1, Some(TrialOutcome::Failed));
    assert!(is_halted(1, &release(V2), &replicas));
    assert!(permitted(policy, &replicas).is_empty());
    assert_eq!(fallback_release(&release(V2), &replicas), Some(release(V1)));
    // One failure among three canaries is not a majority.
    assert!(!is_halted(3, &release(V2), &replicas));
    replicas[1] = replica(V2, Some(TrialOutcome::Passed));
    replicas[2] = replica(V2, Some(TrialOutcome::Passed));
    assert_eq!(permitted(SwitchPolicy { canary: 3, floor: 1 }, &replicas), [0, 1, 2, 3]);
    // Later failures that outnumber the successes halt the rollout.
    replicas.extend(vec![replica(V1, Some(TrialOutcome::Failed)); 2]);
    assert!(is_halted(3, &release(V2), &replicas));
}

#[test]
fn unavailable_replicas_do_not_count_as_ready() {
    let policy = SwitchPolicy { canary: 1, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[0] = replica(V2, Some(TrialOutcome::Passed));
    replicas[4].unavailable = true;
    assert_eq!(permitted(policy, &replicas), [0, 1]);
    replicas[3].unavailable = true;
    assert!(permitted(policy, &replicas).is_empty());
}

#[test]
fn replicas_with_another_target_do_not_count_as_ready() {
    let policy = SwitchPolicy { canary: 0, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    assert_eq!(permitted(policy, &replicas), [0, 1]);
    replicas[4].target = Some(release(V1));
    assert_eq!(permitted(policy, &replicas), [0]);
}

#[test]
fn states_reported_under_an_older_manifest_do_not_count_as_ready() {
    let policy = SwitchPolicy { canary: 0, floor: 3 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[1].manifest_revision = Revision(2);
    assert_eq!(permitted(policy, &replicas), [0]);
    for after in &mut replicas[2..] {
        after.manifest_revision = Revision(2);
    }
    assert_eq!(permitted(policy, &replicas), [0, 1]);
}

#[test]
fn a_bounded_number_of_unavailable_canaries_is_replaced() {
    let policy = SwitchPolicy { canary: 1, floor: 1 };
    let mut replicas = vec![replica(V1, None); 5];
    replicas[0].unavailable = true;
    assert_eq!(permitted(policy, &replicas), [1]);
    replicas[1].unavailable = true;
    assert!(permitted(policy, &replicas).is_empty());
}

#[test]
fn vms_of_a_first_rollout_do_not_wait() {
    let policy = SwitchPolicy { canary: 1, floor: 2 };
    let mut replicas = vec![Replica::default(); 3];
    assert_eq!(permitted(policy, &replicas), [0, 1, 2]);
    replicas[1] = replica(V2, None);
    assert_eq!(permitted(policy, &replicas), [0, 1, 2]);
    replicas[0] = replica("", Some(TrialOutcome::Failed));
    replicas[1] = replica("", Some(TrialOutcome::Failed));
    assert!(!is_halted(1, &release(V2), &replicas));
    assert_eq!(permitted(policy, &replicas), [0, 1, 2]);
}

/// Maximum number of changes by which the known state of a VM may be stale.
const MAX_STALENESS: usize = 60;

/// Simulates a rollout in which each VM decides on a random earlier state of the others. Returns
/// the lowest number of ready VMs, the floor and whether the rollout completed.
fn simulate(seed: u64) -> (usize, usize, bool) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let n = rng.usize(2..12);
    let policy = SwitchPolicy { canary: rng.usize(0..3), floor: rng.usize(0..n) };
    let mut history = vec![vec![replica(V1, None); n]];
    let mut min_ready = n;
    for _ in 0..2000 {
        let now = history.last().unwrap().clone();
        let own_index = rng.usize(..n);
        let mut view =
            history[rng.usize(history.len().saturating_sub(MAX_STALENESS)..history.len())].clone();
        view[own_index] = now[own_index].clone();
        let mut next = now.clone();
        match (&now[own_index].serving, &now[own_index].verdict) {
            (None, _) => next[own_index] = replica(V2, None),
            (Some(serving), None) if serving.as_str() == V2 => {
                next[own_index] = replica(V2, Some(TrialOutcome::Passed));
            }
            (Some(serving), _)
                if serving.as_str() == V1 && may_switch(policy, &release(V2), &view, own_index) =>
            {
                next[own_index].serving = None;
            }
            _ => {}
        }
        min_ready = min_ready.min(next.iter().filter(|r| r.serving.is_some()).count());
        history.push(next);
    }
    let completed = history.last().unwrap().iter().all(|r| r.serving == Some(release(V2)));
    (min_ready, policy.floor, completed)
}

#[test]
fn the_floor_holds_although_vms_know_stale_states() {
    for seed in 0..150 {
        let (min_ready, floor, completed) = simulate(seed);
        assert!(min_ready >= floor, "seed {seed}: {min_ready} ready, floor {floor}");
        assert!(completed, "seed {seed}: the rollout did not complete");
    }
}
