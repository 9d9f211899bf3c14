//! Explanations of decisions: they are those that are made, and asking for one changes nothing.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::time::{Duration, Instant};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointState, EndpointUpdate, ZoneDelay};
use dispatch::{
    Assessment, Decision, DispatchSettings, Dispatcher, EndpointKey, Exclusion, PendingRequest,
};
use fastrand::Rng;

/// Number of random fleets, and of requests to each.
const FLEETS: u64 = 60;
const REQUESTS: usize = 30;
const ENDPOINTS: usize = 6;
const BACKOFF: Duration = Duration::from_millis(300);

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn endpoint(n: usize, state: EndpointState) -> Endpoint {
    Endpoint {
        id: format!("i-{n}").parse().unwrap(),
        zone: zone(["a", "b"][n % 2]),
        slots: 2,
        state,
        ..common::endpoint(service(), n + 1)
    }
}

fn dispatcher(now: Instant) -> Dispatcher {
    let zones = [(zone("a"), "r".parse().unwrap()), (zone("b"), "s".parse().unwrap())];
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone("a"), zones);
    for n in 0..ENDPOINTS {
        let ready = endpoint(n, EndpointState::Ready);
        dispatcher.apply_listing(EndpointUpdate::Published(ready), now);
    }
    dispatcher
}

fn request(now: Instant) -> PendingRequest {
    common::request(service(), now)
}

/// Guards against an explanation that is not the decision, or that takes tokens, shares or random numbers
/// from the requests that follow.
#[test]
fn an_explanation_is_the_next_decision_and_changes_nothing() {
    for seed in 0..FLEETS {
        fastrand::seed(seed);
        let mut rng = Rng::with_seed(seed);
        let mut now = Instant::now();
        let mut dispatcher = dispatcher(now);
        if rng.bool() {
            let zones = [zone("a"), zone("b")];
            let delay = ZoneDelay { zones, delay: Duration::from_millis(3) };
            dispatcher.set_zone_delays(&service(), &[delay]);
        }
        let keys: Vec<EndpointKey> = dispatcher.endpoint_keys().collect();
        for _ in 0..REQUESTS {
            now += Duration::from_millis(rng.u64(..40));
            if rng.f64() < 0.1 {
                dispatcher.record_backoff(keys[rng.usize(..keys.len())], BACKOFF, now);
            }
            let before = format!("{dispatcher:?}");
            let explanation = dispatcher.explain(&request(now), now);
            assert_eq!(format!("{dispatcher:?}"), before, "seed {seed}");
            let (_, decision) = dispatcher.submit(request(now), now);
            assert_eq!(explanation.decision, decision, "seed {seed}");
            if let Decision::Send { endpoint, .. } = decision {
                let (best, assessment) = explanation.endpoints[0];
                assert_eq!(best, endpoint, "seed {seed}");
                assert!(matches!(assessment, Assessment::Eligible(_)), "seed {seed}");
            }
        }
    }
}

/// Guards against an endpoint that is missing, or has another reason than the one that keeps requests away.
#[test]
fn each_endpoint_of_the_service_is_listed_with_what_excludes_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(now);
    let keys: Vec<EndpointKey> = dispatcher.endpoint_keys().collect();
    let leaving = endpoint(2, EndpointState::Draining);
    dispatcher.apply_listing(EndpointUpdate::Published(leaving), now);
    dispatcher.record_backoff(keys[0], BACKOFF, now);
    dispatcher.set_evacuated(zone("b"), true);
    let explanation = dispatcher.explain(&request(now), now);
    assert_eq!(explanation.endpoints.len(), ENDPOINTS);
    let assessment = |n: usize| {
        let found = explanation.endpoints.iter().find(|(key, _)| *key == keys[n]);
        found.map(|(_, assessment)| *assessment)
    };
    assert_eq!(assessment(0), Some(Assessment::Excluded(Exclusion::Backoff)));
    assert_eq!(assessment(2), Some(Assessment::Excluded(Exclusion::Leaving)));
    assert_eq!(assessment(1), Some(Assessment::Excluded(Exclusion::Evacuated)));
    assert!(matches!(assessment(4), Some(Assessment::Eligible(_))));
}
