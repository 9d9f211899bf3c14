use super::*;

fn members(name: &str) -> Members {
    Members::new(name.parse().unwrap(), Incarnation(1), MembersSettings::default())
}

#[test]
fn a_suspect_refutes() {
    let now = Instant::now();
    let (mut a, mut b) = (members("a"), members("b"));
    a.learn(b.news(), now);
    a.missed(&"b".parse().unwrap(), now);
    b.learn(a.news(), now);
    a.learn(b.news(), now);
    let later = now + Duration::from_secs(10);
    a.tick(&VmList::default(), later);
    assert_eq!(a.get(&"b".parse().unwrap()).unwrap().state, MemberState::Alive);
}

#[test]
fn a_silent_suspect_dies_and_a_new_run_lives() {
    let now = Instant::now();
    let (mut a, mut b) = (members("a"), members("b"));
    a.learn(b.news(), now);
    let vm = "b".parse().unwrap();
    a.missed(&vm, now);
    a.tick(&VmList::default(), now + Duration::from_secs(4));
    assert!(a.is_gone(&vm));
    let mut again = Members::new(vm.clone(), Incarnation(2), MembersSettings::default());
    a.learn(again.news(), now);
    assert!(!a.is_gone(&vm));
}
