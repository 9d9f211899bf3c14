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

fn need(service: &ServiceId) -> Need<'_> {
    Need { service, release: None, avoid: &[], tried: &[] }
}

fn wanted(releases: &[&str]) -> Wanted {
    let current = releases.iter().map(|r| r.parse().unwrap()).collect();
    Wanted { current, older: HashSet::new() }
}

fn placed(vm: &str) -> Placed {
    Placed { vm: vm.parse().unwrap(), zone: "z".parse().unwrap() }
}

#[test]
fn only_accepting_and_fresh_endpoints_are_picked() {
    let now = Instant::now();
    let zone: Zone = "z".parse().unwrap();
    let mut router = Router::new(zone, RouterSettings::default(), Rng::with_seed(1));
    let service: ServiceId = "chat".parse().unwrap();
    router.set_wanted(&service, wanted(&["m@v1"]), now);
    router.set_candidates(vec![placed("a"), placed("b")], now);
    assert_eq!(router.pick(&need(&service), now), None);
    router.observe(state("a", false), now);
    router.observe(state("b", true), now);
    assert_eq!(router.pick(&need(&service), now).unwrap().vm.as_str(), "b");
    let late = now + RouterSettings::default().stale + Duration::from_secs(1);
    assert_eq!(router.pick(&need(&service), late), None);
}
