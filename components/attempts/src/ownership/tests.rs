use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn vms(names: &[&str]) -> Vec<VmId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// The ownership state of `b` on a list of three VMs, and a key that `a` owns until it is removed
/// from the list and `b` owns afterwards.
fn ownership_before_move(now: Instant) -> (KeyOwnership, String) {
    let (before, after) = (vms(&["a", "b", "c"]), vms(&["b", "c"]));
    let me = &before[1];
    let moves = |key: &String| {
        key_owner(key, &before) == Some(&before[0]) && key_owner(key, &after) == Some(me)
    };
    let key = (0..).map(|n| format!("order-{n}")).find(moves).unwrap();
    let mut ownership = KeyOwnership::new(me.clone(), KeyOwnershipSettings::default(), now);
    ownership.set_members(before.clone(), now);
    (ownership, key)
}

#[test]
fn a_restarted_owner_is_not_authoritative_until_the_handover_time_has_passed() {
    let now = Instant::now();
    let mut ownership =
        KeyOwnership::new("a".parse().unwrap(), KeyOwnershipSettings::default(), now);
    ownership.set_members(vms(&["a"]), now);
    for (age, expected) in [(0, false), (239, false), (240, true)] {
        ownership.confirm(Revision(1), now + SECOND * age);
        assert_eq!(
            ownership.is_authoritative("order", now + SECOND * age),
            expected,
            "after {age}s"
        );
    }
}

#[test]
fn a_new_owner_waits_for_the_handover_time() {
    let start = Instant::now();
    let (mut ownership, key) = ownership_before_move(start);
    let now = start + SECOND * 1000;
    ownership.confirm(Revision(1), now);
    assert!(!ownership.is_authoritative(&key, now), "another VM owns the key");
    ownership.set_members(vms(&["b", "c"]), now);
    assert!(!ownership.is_authoritative(&key, now), "the previous owner may have run it");
    let later = now + SECOND * 240;
    ownership.confirm(Revision(1), later);
    ownership.tick(later);
    assert!(ownership.is_authoritative(&key, later));
}

#[test]
fn an_owner_without_a_recent_vm_list_is_not_authoritative() {
    let start = Instant::now();
    let mut ownership =
        KeyOwnership::new("a".parse().unwrap(), KeyOwnershipSettings::default(), start);
    ownership.set_members(vms(&["a"]), start);
    let now = start + SECOND * 1000;
    assert!(!ownership.is_authoritative("order", now), "never confirmed");
    ownership.confirm(Revision(1), now);
    assert!(ownership.is_authoritative("order", now + SECOND * 30));
    assert!(
        !ownership.is_authoritative("order", now + SECOND * 31),
        "another VM may own the key by now"
    );
    ownership.confirm(Revision(2), now + SECOND * 60);
    ownership.set_members(vms(&["b"]), now + SECOND * 60);
    assert!(!ownership.is_authoritative("order", now + SECOND * 61), "this VM is off the list");
}

/// Two VMs must never both be authoritative for a key within its retention time, in whatever order
/// they receive VM lists; otherwise a call with an idempotency key could run twice.
#[test]
fn two_vms_are_never_authoritative_within_the_key_retention() {
    fn check(seed: u64, moves: &mut u32) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let names = ["a", "b", "c"];
        let settings = KeyOwnershipSettings::default();
        let new = |name: &&str| KeyOwnership::new(name.parse().unwrap(), settings, start);
        let mut nodes: Vec<KeyOwnership> = names.iter().map(new).collect();
        let mut list = vms(&names);
        let mut revision = Revision(1);
        let mut is_disconnected = [false; 3];
        let mut last: Option<(usize, u64)> = None;
        for second in 0..4000u64 {
            let now = start + SECOND * second as u32;
            if rng.u64(..300) == 0 {
                revision = revision.next();
                list = vms(&names).into_iter().filter(|_| rng.u64(..3) != 0).collect();
            }
            if rng.u64(..200) == 0 {
                is_disconnected[rng.usize(..3)] ^= true;
            }
            for (i, node) in nodes.iter_mut().enumerate() {
                if !is_disconnected[i] {
                    node.set_members(list.clone(), now);
                    node.confirm(revision, now);
                }
                node.tick(now);
                if node.is_authoritative("order", now) {
                    if last.is_some_and(|(other, at)| other != i && second - at < 180) {
                        return false;
                    }
                    *moves += u32::from(last.is_some_and(|(other, _)| other != i));
                    last = Some((i, second));
                }
            }
        }
        true
    }
    let mut moves = 0;
    assert!((0..100).all(|seed| check(seed, &mut moves)));
    assert!(moves > 0, "no key ever moved");
}
