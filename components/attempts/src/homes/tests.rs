use super::*;

const SECOND: Duration = Duration::from_secs(1);

fn vms(names: &[&str]) -> Vec<VmId> {
    names.iter().map(|name| name.parse().unwrap()).collect()
}

/// Homes of `b` on a list of three VMs, long after the start, and a key whose home is `b` only once
/// `a` is gone.
fn moved(now: Instant) -> (KeyOwnership, String) {
    let (before, after) = (vms(&["a", "b", "c"]), vms(&["b", "c"]));
    let me = &before[1];
    let moves = |key: &String| {
        key_owner(key, &before) == Some(&before[0]) && key_owner(key, &after) == Some(me)
    };
    let key = (0..).map(|n| format!("order-{n}")).find(moves).unwrap();
    let mut homes = KeyOwnership::new(me.clone(), KeyOwnershipSettings::default(), now);
    homes.set_members(before.clone(), now);
    (homes, key)
}

#[test]
fn a_restarted_home_does_not_vouch_for_keys_that_its_last_run_may_have_run() {
    let now = Instant::now();
    let mut homes = KeyOwnership::new("a".parse().unwrap(), KeyOwnershipSettings::default(), now);
    homes.set_members(vms(&["a"]), now);
    for (age, vouches) in [(0, false), (239, false), (240, true)] {
        homes.confirm(Revision(1), now + SECOND * age);
        assert_eq!(homes.is_authoritative("order", now + SECOND * age), vouches, "after {age}s");
    }
}

#[test]
fn a_new_home_waits_until_the_old_one_has_stopped() {
    let start = Instant::now();
    let (mut homes, key) = moved(start);
    let now = start + SECOND * 1000;
    homes.confirm(Revision(1), now);
    assert!(!homes.is_authoritative(&key, now), "it is not the home");
    homes.set_members(vms(&["b", "c"]), now);
    assert!(!homes.is_authoritative(&key, now), "the old home may have run it");
    let later = now + SECOND * 240;
    homes.confirm(Revision(1), later);
    homes.tick(later);
    assert!(homes.is_authoritative(&key, later));
}

#[test]
fn a_home_without_a_fresh_list_does_not_vouch() {
    let start = Instant::now();
    let mut homes = KeyOwnership::new("a".parse().unwrap(), KeyOwnershipSettings::default(), start);
    homes.set_members(vms(&["a"]), start);
    let now = start + SECOND * 1000;
    assert!(!homes.is_authoritative("order", now), "never confirmed");
    homes.confirm(Revision(1), now);
    assert!(homes.is_authoritative("order", now + SECOND * 30));
    assert!(!homes.is_authoritative("order", now + SECOND * 31), "another may be the home by now");
    homes.confirm(Revision(2), now + SECOND * 60);
    homes.set_members(vms(&["b"]), now + SECOND * 60);
    assert!(!homes.is_authoritative("order", now + SECOND * 61), "this VM is off the list");
}

/// Two homes of one key at a time are never both sure, whatever the order of lists.
#[test]
fn two_vms_never_vouch_within_the_retention_of_keys() {
    fn check(seed: u64, moves: &mut u32) -> bool {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let names = ["a", "b", "c"];
        let settings = KeyOwnershipSettings::default();
        let new = |name: &&str| KeyOwnership::new(name.parse().unwrap(), settings, start);
        let mut homes: Vec<KeyOwnership> = names.iter().map(new).collect();
        let mut list = vms(&names);
        let mut revision = Revision(1);
        let mut cut = [false; 3];
        let mut last: Option<(usize, u64)> = None;
        for second in 0..4000u64 {
            let now = start + SECOND * second as u32;
            if rng.u64(..300) == 0 {
                revision = revision.next();
                list = vms(&names).into_iter().filter(|_| rng.u64(..3) != 0).collect();
            }
            if rng.u64(..200) == 0 {
                cut[rng.usize(..3)] ^= true;
            }
            for (i, home) in homes.iter_mut().enumerate() {
                if !cut[i] {
                    home.set_members(list.clone(), now);
                    home.confirm(revision, now);
                }
                home.tick(now);
                if home.is_authoritative("order", now) {
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
