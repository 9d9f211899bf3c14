use super::*;

fn vm(name: &str) -> VmId {
    name.parse().unwrap()
}

fn members(name: &str, incarnation: u64) -> Members {
    Members::new(vm(name), Incarnation(incarnation), MembersSettings::default())
}

fn suspicion() -> Duration {
    MembersSettings::default().suspicion_timeout
}

#[test]
fn a_suspect_refutes() {
    let now = Instant::now();
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    a.merge(b.updates_for(&vm("a")), now);
    a.suspect(&vm("b"), now);
    assert_eq!(a.get(&vm("b")).unwrap().state, MemberState::Suspect);
    b.merge(a.updates_for(&vm("b")), now);
    a.merge(b.updates_for(&vm("a")), now);
    a.tick(now + suspicion() * 2);
    assert_eq!(a.get(&vm("b")).unwrap().state, MemberState::Alive);
}

#[test]
fn a_suspect_that_does_not_refute_is_dead_until_it_restarts() {
    let now = Instant::now();
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    a.merge(b.updates_for(&vm("a")), now);
    a.suspect(&vm("b"), now);
    a.tick(now + suspicion() / 2);
    assert!(!a.is_gone(&vm("b")));
    a.tick(now + suspicion());
    assert!(a.is_gone(&vm("b")));
    let mut restarted = members("b", 2);
    a.merge(restarted.updates_for(&vm("a")), now);
    assert!(!a.is_gone(&vm("b")));
}

#[test]
fn a_listed_vm_without_any_update_can_be_declared_dead() {
    let now = Instant::now();
    let mut a = members("a", 1);
    a.suspect(&vm("b"), now);
    a.tick(now + suspicion());
    assert!(a.is_gone(&vm("b")));
    a.merge(members("b", 1).updates_for(&vm("a")), now);
    assert!(!a.is_gone(&vm("b")));
}

#[test]
fn both_sides_of_a_partition_reconcile() {
    let now = Instant::now();
    let (mut a, mut b) = (members("a", 1), members("b", 1));
    a.merge(b.updates_for(&vm("a")), now);
    b.merge(a.updates_for(&vm("b")), now);
    for (side, other) in [(&mut a, "b"), (&mut b, "a")] {
        side.suspect(&vm(other), now);
        side.tick(now + suspicion());
        assert!(side.is_gone(&vm(other)));
    }
    // The first exchange after the partition tells each side that the other considers it dead.
    b.merge(a.updates_for(&vm("b")), now);
    a.merge(b.updates_for(&vm("a")), now);
    b.merge(a.updates_for(&vm("b")), now);
    assert!(!a.is_gone(&vm("b")) && !b.is_gone(&vm("a")));
}

#[test]
fn a_restart_with_the_clock_set_back_takes_a_higher_incarnation() {
    let now = Instant::now();
    let mut peer = members("p", 1);
    peer.merge(members("a", 500).updates_for(&vm("p")), now);
    let mut restarted = members("a", 100);
    restarted.merge(peer.updates_for(&vm("a")), now);
    assert_eq!(restarted.incarnation(), Incarnation(501));
    assert!(!restarted.has_newer_process());
    peer.merge(restarted.updates_for(&vm("p")), now);
    assert_eq!(peer.get(&vm("a")).unwrap().incarnation, Incarnation(501));
}

#[test]
fn a_process_that_joined_detects_a_newer_process() {
    let now = Instant::now();
    let (mut peer, mut old) = (members("p", 1), members("a", 100));
    old.set_joined();
    peer.merge(members("a", 500).updates_for(&vm("p")), now);
    old.merge(peer.updates_for(&vm("a")), now);
    assert!(old.has_newer_process());
}

#[test]
fn a_message_is_bounded_whatever_the_news() {
    let now = Instant::now();
    let mut a = members("a", 1);
    for i in 0..12_960 {
        a.merge(members(&format!("vm-{i:05}"), 1).updates_for(&vm("a")), now);
    }
    let settings = MembersSettings::default();
    for i in 0..100 {
        assert!(a.updates_for(&vm(&format!("vm-{i:05}"))).len() <= settings.max_updates + 2);
    }
}

#[test]
fn each_item_is_carried_a_bounded_number_of_times() {
    let now = Instant::now();
    let mut a = members("a", 1);
    a.merge(members("b", 1).updates_for(&vm("a")), now);
    let carried = (0..100).filter(|_| a.updates_for(&vm("c")).len() > 1).count();
    assert_eq!(carried as u32, MembersSettings::default().max_transmissions);
}

#[test]
fn what_a_vm_serves_spreads_within_its_rollout_only() {
    let now = Instant::now();
    let settings = MembersSettings { small_fleet_size: 2, ..MembersSettings::default() };
    let mut a = Members::new(vm("a"), Incarnation(1), settings);
    let (mut b, mut c) = (members("b", 1), members("c", 1));
    for peer in [&mut b, &mut c, &mut members("d", 1), &mut members("e", 1)] {
        a.merge(peer.updates_for(&vm("a")), now);
    }
    while a.updates_for(&vm("x")).len() > 1 {}
    a.set_rollout_vms([vm("a"), vm("b"), vm("d")]);
    for peer in [&mut b, &mut c] {
        let serving = "m@v1".parse().ok();
        peer.publish_state(LocalState {
            serving,
            ..LocalState::without_release(MemberState::Alive)
        });
        a.merge(peer.updates_for(&vm("a")), now);
    }
    let sent_to = |a: &mut Members, to: &str| -> Vec<VmId> {
        a.updates_for(&vm(to)).into_iter().skip(2).map(|m| m.vm).collect()
    };
    assert_eq!(sent_to(&mut a, "d"), [vm("b")]);
    assert!(sent_to(&mut a, "e").is_empty());
    // That a member is leaving is sent to all.
    b.publish_state(LocalState::without_release(MemberState::Leaving));
    a.merge(b.updates_for(&vm("a")), now);
    assert_eq!(sent_to(&mut a, "e"), [vm("b")]);
}
