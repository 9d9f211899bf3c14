use proto::Serving;

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

#[test]
fn only_accepting_and_fresh_endpoints_are_picked() {
    let now = Instant::now();
    let zone: Zone = "z".parse().unwrap();
    let mut router = Router::new(zone.clone(), RouterSettings::default(), Rng::with_seed(1));
    let candidate = |vm: &str| Candidate { vm: vm.parse().unwrap(), zone: zone.clone() };
    router.set_candidates(vec![candidate("a"), candidate("b")], now);
    let service = "chat".parse().unwrap();
    assert_eq!(router.pick(&service, None, &[], now), None);
    router.observe(state("a", false), now);
    router.observe(state("b", true), now);
    assert_eq!(router.pick(&service, None, &[], now).unwrap().vm.as_str(), "b");
    let late = now + Duration::from_secs(4);
    assert_eq!(router.pick(&service, None, &[], late), None);
}
