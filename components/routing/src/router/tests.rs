use proto::{Load, Serving};

use super::*;

fn state(vm: &str, accepting: bool) -> EndpointState {
    let serving =
        Serving { service: "chat".parse().unwrap(), rollout: None, release: "m@v1".parse().ok() };
    EndpointState {
        vm: vm.parse().unwrap(),
        incarnation: Incarnation(1),
        serving: Some(serving),
        accepting,
        clock: 0,
        load: Load { busy: 0, slots: 4 },
    }
}

fn need(service: &ServiceId) -> EndpointRequirements<'_> {
    EndpointRequirements { service, release: None, avoid: &[], tried: &[] }
}

fn wanted(releases: &[&str]) -> AllowedReleases {
    let current = releases.iter().map(|r| r.parse().unwrap()).collect();
    AllowedReleases { current, older: HashSet::new() }
}

fn placed(vm: &str) -> ZonedVm {
    ZonedVm { vm: vm.parse().unwrap(), zone: "z".parse().unwrap() }
}

#[test]
fn only_accepting_and_fresh_endpoints_are_picked() {
    let now = Instant::now();
    let zone: Zone = "z".parse().unwrap();
    let mut router = Router::new(zone, RouterSettings::default(), Rng::with_seed(1));
    let service: ServiceId = "chat".parse().unwrap();
    router.set_allowed_releases(&service, wanted(&["m@v1"]), now);
    router.set_endpoints(vec![placed("a"), placed("b")], now);
    assert_eq!(router.pick(&need(&service), now), None);
    router.observe(state("a", false), now);
    router.observe(state("b", true), now);
    assert_eq!(router.pick(&need(&service), now).unwrap().vm.as_str(), "b");
    let late = now + RouterSettings::default().max_state_age + Duration::from_secs(1);
    assert_eq!(router.pick(&need(&service), late), None);
}

const SLOTS: u32 = 4;

fn router(vms: &[&str], now: Instant) -> (Router, ServiceId) {
    let mut router =
        Router::new("z".parse().unwrap(), RouterSettings::default(), Rng::with_seed(1));
    let service: ServiceId = "chat".parse().unwrap();
    router.set_allowed_releases(&service, wanted(&["m@v1"]), now);
    router.set_endpoints(vms.iter().map(|vm| placed(vm)).collect(), now);
    for vm in vms {
        router.observe(state(vm, true), now);
    }
    (router, service)
}

fn picks(router: &mut Router, service: &ServiceId, count: usize, now: Instant) -> Vec<String> {
    let mut vms = Vec::new();
    for _ in 0..count {
        let Some(choice) = router.pick(&need(service), now) else { break };
        router.record_start(&choice.vm);
        vms.push(choice.vm.to_string());
    }
    vms
}

fn with_release(vm: &str, release: &str) -> EndpointState {
    let mut state = state(vm, true);
    state.serving.as_mut().unwrap().release = release.parse().ok();
    state
}

#[test]
fn an_endpoint_that_leaves_gets_nothing_new() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b"], now);
    router.set_endpoints(vec![placed("b")], now);
    assert_eq!(picks(&mut router, &service, 2, now), ["b", "b"]);
    router.observe(state("b", false), now);
    assert_eq!(router.pick(&need(&service), now), None);
}

#[test]
fn old_and_new_releases_serve_during_a_rollout_and_no_others() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b", "c"], now);
    let older = HashSet::from(["m@v1".parse().unwrap()]);
    let current = HashSet::from(["m@v2".parse().unwrap()]);
    router.set_allowed_releases(&service, AllowedReleases { current, older }, now);
    router.observe(with_release("b", "m@v2"), now);
    router.observe(with_release("c", "other@v1"), now);
    let used: HashSet<String> = picks(&mut router, &service, 8, now).into_iter().collect();
    assert_eq!(used, HashSet::from(["a".to_owned(), "b".to_owned()]));
}

#[test]
fn an_endpoint_that_a_rollout_left_behind_gets_nothing() {
    let now = Instant::now();
    let vms = ["a", "b", "c", "d"];
    let (mut router, service) = router(&vms, now);
    let older = HashSet::from(["m@v1".parse().unwrap()]);
    let current = HashSet::from(["m@v2".parse().unwrap()]);
    router.set_allowed_releases(&service, AllowedReleases { current, older }, now);
    let late = now + RouterSettings::default().rollout_stall_timeout + Duration::from_secs(1);
    for vm in &vms[..3] {
        router.observe(with_release(vm, "m@v2"), now);
    }
    for vm in &vms[..3] {
        router.observe(with_release(vm, "m@v2"), late);
    }
    router.observe(state("d", true), late);
    assert!(!picks(&mut router, &service, 16, late).contains(&"d".to_owned()));
}

#[test]
fn a_failed_rollout_leaves_the_old_release_in_use() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b"], now);
    let older = HashSet::from(["m@v1".parse().unwrap()]);
    let current = HashSet::from(["m@v2".parse().unwrap()]);
    router.set_allowed_releases(&service, AllowedReleases { current, older }, now);
    let late = now + RouterSettings::default().rollout_stall_timeout + Duration::from_secs(1);
    router.observe(state("a", true), late);
    router.observe(state("b", true), late);
    assert_eq!(picks(&mut router, &service, 4, late).len(), 4);
}

#[test]
fn a_failed_endpoint_stays_out_longer_each_time_and_returns_slowly() {
    let start = Instant::now();
    let (mut router, service) = router(&["a"], start);
    let mut now = start + Duration::from_secs(60);
    for seconds in [1, 2, 4] {
        router.observe(state("a", true), now);
        router.record_start(&"a".parse().unwrap());
        assert!(router.record_result(&"a".parse().unwrap(), EndpointOutcome::Failed, now));
        router.observe(state("a", true), now);
        now += Duration::from_secs(seconds);
        let early = now - Duration::from_millis(1);
        assert_eq!(router.pick(&need(&service), early), None, "out for {seconds}s");
        router.observe(state("a", true), now);
        assert!(router.pick(&need(&service), now).is_some(), "back after {seconds}s");
    }
    assert_eq!(picks(&mut router, &service, 8, now).len(), 1, "one probe at a time");
    router.record_result(&"a".parse().unwrap(), EndpointOutcome::Succeeded, now);
    assert_eq!(picks(&mut router, &service, 8, now).len(), SLOTS as usize);
}

#[test]
fn a_new_replica_is_not_flooded() {
    let start = Instant::now();
    let (mut router, service) = router(&["a", "b", "c"], start);
    let now = start + Duration::from_secs(60);
    for vm in ["a", "b", "c"] {
        router.observe(state(vm, true), now);
    }
    router.set_endpoints(["a", "b", "c", "new"].map(placed).to_vec(), now);
    router.observe(state("new", true), now);
    let all = picks(&mut router, &service, 100, now);
    assert_eq!(all.iter().filter(|vm| *vm == "new").count(), 1, "{all:?}");
    assert_eq!(all.len(), 3 * SLOTS as usize + 1);
}

#[test]
fn an_overloaded_service_gives_an_entry_its_part_only() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b"], now);
    router.set_slot_quota(&service, SlotQuota { fraction: 0.5, may_borrow: false });
    assert_eq!(picks(&mut router, &service, 100, now).len(), SLOTS as usize);
}

#[test]
fn the_own_zone_comes_first_and_spills_over_when_full() {
    let now = Instant::now();
    let (mut router, service) = router(&["a"], now);
    let far = ZonedVm { vm: "far".parse().unwrap(), zone: "y".parse().unwrap() };
    router.set_endpoints(vec![placed("a"), far], now);
    router.observe(state("far", true), now);
    let all = picks(&mut router, &service, 8, now);
    assert_eq!(all[..3], ["a", "a", "a"]);
    assert_eq!(all.iter().filter(|vm| *vm == "far").count(), SLOTS as usize);
}
