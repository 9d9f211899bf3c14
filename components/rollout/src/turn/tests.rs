use super::*;

fn replicas(serving: &[&str]) -> Vec<Replica> {
    let replica = |s: &&str| Replica { serving: s.parse().ok(), dead: false };
    serving.iter().map(replica).collect()
}

#[test]
fn the_others_wait_for_the_canary() {
    let new: ReleaseId = "m@v2".parse().unwrap();
    let turn = Turn { canary: 1, step: 2 };
    let before = replicas(&["m@v1"; 5]);
    let open = |r: &[Replica]| -> Vec<usize> {
        (0..r.len()).filter(|&me| my_turn(turn, &new, r, me)).collect()
    };
    assert_eq!(open(&before), [0]);
    assert_eq!(open(&replicas(&["m@v2", "m@v1", "m@v1", "m@v1", "m@v1"])), [0, 1, 2]);
    assert_eq!(open(&replicas(&["m@v2", "m@v1", "m@v2", "m@v1", "m@v1"])), [0, 1, 2]);
}
