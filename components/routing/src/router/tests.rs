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

fn requirements(service: &ServiceId) -> EndpointRequirements<'_> {
    EndpointRequirements { service, release: None, avoid: &[], tried: &[] }
}

fn allowed(releases: &[&str]) -> AllowedReleases {
    let current = releases.iter().map(|r| r.parse().unwrap()).collect();
    AllowedReleases { current, older: HashSet::new() }
}

fn zoned_vm(vm: &str) -> ZonedVm {
    ZonedVm { vm: vm.parse().unwrap(), zone: "z".parse().unwrap() }
}

#[test]
fn only_accepting_and_fresh_endpoints_are_picked() {
    let now = Instant::now();
    let zone: Zone = "z".parse().unwrap();
    let mut router = Router::new(zone, RouterSettings::default(), Rng::with_seed(1));
    let service: ServiceId = "chat".parse().unwrap();
    router.set_allowed_releases(&service, allowed(&["m@v1"]), now);
    router.set_endpoints(vec![zoned_vm("a"), zoned_vm("b")], now);
    assert_eq!(router.pick(&requirements(&service), now), None);
    router.observe(state("a", false), now);
    router.observe(state("b", true), now);
    assert_eq!(router.pick(&requirements(&service), now).unwrap().vm.as_str(), "b");
    let late = now + RouterSettings::default().max_state_age + Duration::from_secs(1);
    assert_eq!(router.pick(&requirements(&service), late), None);
}

const SLOTS: u32 = 4;

fn router(vms: &[&str], now: Instant) -> (Router, ServiceId) {
    let mut router =
        Router::new("z".parse().unwrap(), RouterSettings::default(), Rng::with_seed(1));
    let service: ServiceId = "chat".parse().unwrap();
    router.set_allowed_releases(&service, allowed(&["m@v1"]), now);
    router.set_endpoints(vms.iter().map(|vm| zoned_vm(vm)).collect(), now);
    for vm in vms {
        router.observe(state(vm, true), now);
    }
    (router, service)
}

fn picks(router: &mut Router, service: &ServiceId, count: usize, now: Instant) -> Vec<String> {
    let mut vms = Vec::new();
    for _ in 0..count {
        let Some(choice) = router.pick(&requirements(service), now) else { break };
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
fn a_removed_or_draining_endpoint_gets_no_new_requests() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b"], now);
    router.set_endpoints(vec![zoned_vm("b")], now);
    assert_eq!(picks(&mut router, &service, 2, now), ["b", "b"]);
    router.observe(state("b", false), now);
    assert_eq!(router.pick(&requirements(&service), now), None);
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
fn an_endpoint_left_behind_by_a_rollout_gets_no_requests() {
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
fn the_cooldown_doubles_with_each_failure_and_a_probe_ends_it() {
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
        assert_eq!(router.pick(&requirements(&service), early), None, "out for {seconds}s");
        router.observe(state("a", true), now);
        assert!(router.pick(&requirements(&service), now).is_some(), "back after {seconds}s");
    }
    assert_eq!(picks(&mut router, &service, 8, now).len(), 1, "one probe at a time");
    router.record_result(&"a".parse().unwrap(), EndpointOutcome::Succeeded, now);
    assert_eq!(picks(&mut router, &service, 8, now).len(), SLOTS as usize);
}

#[test]
fn a_new_endpoint_warms_up_slowly() {
    let start = Instant::now();
    let (mut router, service) = router(&["a", "b", "c"], start);
    let now = start + Duration::from_secs(60);
    for vm in ["a", "b", "c"] {
        router.observe(state(vm, true), now);
    }
    router.set_endpoints(["a", "b", "c", "new"].map(zoned_vm).to_vec(), now);
    router.observe(state("new", true), now);
    let all = picks(&mut router, &service, 100, now);
    assert_eq!(all.iter().filter(|vm| *vm == "new").count(), 1, "{all:?}");
    assert_eq!(all.len(), 3 * SLOTS as usize + 1);
}

#[test]
fn an_entry_stays_within_its_quota_of_an_overloaded_service() {
    let now = Instant::now();
    let (mut router, service) = router(&["a", "b"], now);
    router.set_slot_quota(&service, SlotQuota { fraction: 0.5, may_borrow: false });
    assert_eq!(picks(&mut router, &service, 100, now).len(), SLOTS as usize);
}

#[test]
fn the_own_zone_is_preferred_until_it_is_full() {
    let now = Instant::now();
    let (mut router, service) = router(&["a"], now);
    let far = ZonedVm { vm: "far".parse().unwrap(), zone: "y".parse().unwrap() };
    router.set_endpoints(vec![zoned_vm("a"), far], now);
    router.observe(state("far", true), now);
    let all = picks(&mut router, &service, 8, now);
    assert_eq!(all[..3], ["a", "a", "a"]);
    assert_eq!(all.iter().filter(|vm| *vm == "far").count(), SLOTS as usize);
}
