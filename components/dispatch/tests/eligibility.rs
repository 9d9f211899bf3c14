//! Where a request may go: regions in which it may be served, and zones that the operator evacuated.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use base::{Region, ServiceId, Zone};
use catalog::{Endpoint, EndpointState, EndpointUpdate, Homes};
use dispatch::{
    Absence, Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, PendingRequest,
    Refusal,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Number of random cases.
const CASES: u64 = 3000;
/// Zones with their regions. The settings do not know the last zone.
const ZONES: [(&str, &str); 5] =
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c"), ("d1", "unknown")];
const BACKOFF: Duration = Duration::from_secs(3);

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

fn homes(regions: &[&str]) -> Homes {
    Homes::only(regions.iter().map(|region| region.parse::<Region>().unwrap()))
}

fn endpoint(n: usize, zone_name: &str, state: EndpointState) -> Endpoint {
    Endpoint {
        id: format!("i-{n}").parse().unwrap(),
        zone: zone(zone_name),
        state,
        ..common::endpoint(service(), n + 1)
    }
}

/// A dispatcher in zone `a1`.
fn dispatcher(zones: &[&str], now: Instant) -> Dispatcher {
    let known = ZONES[..4].iter().map(|(z, r)| (zone(z), r.parse().unwrap()));
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone("a1"), known);
    for (n, zone) in zones.iter().enumerate() {
        let published = EndpointUpdate::Published(endpoint(n, zone, EndpointState::Ready));
        dispatcher.apply_listing(published, now);
    }
    dispatcher
}

fn request(homes: Homes, now: Instant) -> PendingRequest {
    PendingRequest { homes, ..common::request(service(), now) }
}

fn decide(dispatcher: &mut Dispatcher, homes: Homes, now: Instant) -> Decision {
    dispatcher.submit(request(homes, now), now).1
}

/// The zone of the endpoint that a request is sent to.
fn sent_to(dispatcher: &Dispatcher, decision: Decision, now: Instant) -> String {
    let Decision::Send { endpoint, .. } = decision else { panic!("{decision:?}") };
    dispatcher.endpoint(endpoint, now).unwrap().zone.to_string()
}

fn refusal(decision: Decision) -> (Refusal, Duration) {
    let Decision::Refuse { reason, retry_after } = decision else { panic!("{decision:?}") };
    (reason, retry_after)
}

/// What keeps an endpoint from serving, if anything does.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Condition {
    Free,
    Leaving,
    Paused,
    Failed,
    Full,
}

/// A fleet, and two requests of which the second was sent to the endpoint of the first one already.
#[derive(Debug, Clone)]
struct Case {
    endpoints: Vec<(usize, Condition)>,
    evacuated: Vec<usize>,
    /// Regions of the route and of the workspace, by zone; `None` if unbound.
    homes: [Option<Vec<usize>>; 2],
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut Gen) -> Case {
        let mut below = |n: usize| usize::arbitrary(g) % n;
        let count = below(8);
        let conditions =
            [Condition::Leaving, Condition::Paused, Condition::Failed, Condition::Full];
        let condition = |n: usize| if n < 4 { conditions[n] } else { Condition::Free };
        let endpoints = (0..count).map(|_| (below(ZONES.len()), condition(below(8)))).collect();
        let evacuated = (0..below(3)).map(|_| below(ZONES.len())).collect();
        let mut bound = || (below(3) > 0).then(|| (0..below(4)).map(|_| below(5)).collect());
        Case { endpoints, evacuated, homes: [bound(), bound()] }
    }
}

impl Case {
    fn homes(&self) -> Homes {
        let homes_of = |bound: &Option<Vec<usize>>| match bound {
            Some(zones) => homes(&zones.iter().map(|n| ZONES[*n].1).collect::<Vec<_>>()),
            None => Homes::ANYWHERE,
        };
        homes_of(&self.homes[0]).intersection(&homes_of(&self.homes[1]))
    }

    /// Whether both the route and the workspace allow a zone and it is not evacuated.
    fn allows(&self, zone: usize) -> bool {
        let is_known = zone < 4;
        let may_serve = |bound: &Option<Vec<usize>>| match bound {
            Some(zones) => is_known && zones.iter().any(|n| ZONES[*n].1 == ZONES[zone].1),
            None => true,
        };
        self.homes.iter().all(may_serve) && !self.evacuated.contains(&zone)
    }

    fn dispatcher(&self, now: Instant) -> Dispatcher {
        let zones: Vec<&str> = self.endpoints.iter().map(|(zone, _)| ZONES[*zone].0).collect();
        let mut dispatcher = dispatcher(&zones, now);
        let keys: Vec<EndpointKey> = dispatcher.endpoint_keys().collect();
        for (n, key) in keys.into_iter().enumerate() {
            self.prepare(&mut dispatcher, n, key, now);
        }
        for n in &self.evacuated {
            dispatcher.set_evacuated(zone(ZONES[*n].0), true);
        }
        dispatcher
    }

    fn prepare(&self, dispatcher: &mut Dispatcher, n: usize, key: EndpointKey, now: Instant) {
        let (zone, condition) = self.endpoints[n];
        match condition {
            Condition::Free => {}
            Condition::Leaving => {
                let leaving = endpoint(n, ZONES[zone].0, EndpointState::Draining);
                dispatcher.apply_listing(EndpointUpdate::Published(leaving), now);
            }
            Condition::Paused => dispatcher.record_backoff(key, BACKOFF, now),
            Condition::Failed => {
                for _ in 0..2 {
                    dispatcher.record_result(key, Default::default(), EndpointOutcome::Lost, now);
                }
            }
            Condition::Full => {
                let mut full = endpoint(n, ZONES[zone].0, EndpointState::Ready);
                full.slots = 0;
                dispatcher.apply_listing(EndpointUpdate::Published(full), now);
            }
        }
    }
}

/// Guards against any path that sends a request out of its regions or into an evacuated zone, and
/// against refusals while an endpoint that may serve the request is free.
#[test]
fn requests_go_only_where_they_may_be_served_and_are_not_refused_while_they_can_be() {
    fn holds(case: Case) -> bool {
        let now = Instant::now();
        let mut dispatcher = case.dispatcher(now);
        let is_free = |(zone, condition): &(usize, Condition)| {
            case.allows(*zone) && *condition == Condition::Free
        };
        let free = case.endpoints.iter().filter(|endpoint| is_free(endpoint)).count();
        let mut next = request(case.homes(), now);
        // The second time it is a retry, which must find another endpoint.
        (0..2).all(|tried| match dispatcher.submit(next.clone(), now).1 {
            Decision::Send { endpoint, .. } => {
                next.tried.push(endpoint);
                let view = dispatcher.endpoint(endpoint, now).unwrap();
                let n = ZONES.iter().position(|(name, _)| *name == view.zone.as_str());
                case.allows(n.unwrap())
            }
            _ => free <= tried,
        })
    }
    let generator = Gen::from_size_and_seed(100, 7);
    QuickCheck::new().rng(generator).tests(CASES).quickcheck(holds as fn(Case) -> bool);
}

/// Guards against a request that waits until its deadline, or is told to come back for an endpoint that
/// may not serve it.
#[test]
fn a_request_without_an_endpoint_in_its_regions_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a1", "b1"], now);
    let settings = DispatchSettings::default();
    let in_c = decide(&mut dispatcher, homes(&["c"]), now);
    assert_eq!(refusal(in_c), (Refusal::NoHome, settings.max_retry_after));
    let nowhere = homes(&["a"]).intersection(&homes(&["b"]));
    let nowhere = decide(&mut dispatcher, nowhere, now);
    assert_eq!(refusal(nowhere), (Refusal::NoHome, settings.max_backoff_retry));
    let in_b = decide(&mut dispatcher, homes(&["b", "c"]), now);
    assert_eq!(sent_to(&dispatcher, in_b, now), "b1");
}

/// Guards against a Retry-After that is another region's.
#[test]
fn the_pause_of_an_endpoint_elsewhere_does_not_count() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a1", "b1"], now);
    let keys: Vec<EndpointKey> = dispatcher.endpoint_keys().collect();
    dispatcher.record_backoff(keys[0], Duration::from_millis(100), now);
    dispatcher.record_backoff(keys[1], BACKOFF, now);
    let in_b = decide(&mut dispatcher, homes(&["b"]), now);
    assert_eq!(refusal(in_b), (Refusal::Backoff, BACKOFF));
    assert_eq!(dispatcher.service_backoff(&service(), &homes(&["b"]), now), Some(BACKOFF));
    dispatcher.set_evacuated(zone("b1"), true);
    let in_b = decide(&mut dispatcher, homes(&["b"]), now);
    assert_eq!(refusal(in_b).0, Refusal::Evacuated);
}

/// Guards against a waiting request that is sent by the configuration under which it came.
#[test]
fn a_waiting_request_is_bound_by_narrower_regions() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a1"], now);
    let key = dispatcher.endpoint_keys().next().unwrap();
    dispatcher.record_backoff(key, Duration::from_millis(50), now);
    let (waiting, decision) = dispatcher.submit(request(homes(&["a", "b"]), now), now);
    assert_eq!(decision, Decision::Wait);
    dispatcher.set_homes(waiting.unwrap(), homes(&["b"]));
    let polled = dispatcher.poll(now + Duration::from_millis(60));
    assert_eq!(refusal(polled[0].1).0, Refusal::NoHome);
}

/// Guards against an evacuation that ends running requests, or is forgotten by retries.
#[test]
fn an_evacuated_zone_gets_nothing_until_it_is_taken_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&["a1", "b1"], now);
    let first = decide(&mut dispatcher, Homes::ANYWHERE, now);
    assert_eq!(sent_to(&dispatcher, first, now), "a1");
    let Decision::Send { endpoint: key, .. } = first else { panic!() };
    dispatcher.set_evacuated(zone("a1"), true);
    assert_eq!(dispatcher.in_flight(key), 1);
    assert!(dispatcher.is_withheld(key, &Homes::ANYWHERE, now));
    for _ in 0..4 {
        let decision = decide(&mut dispatcher, Homes::ANYWHERE, now);
        assert_eq!(sent_to(&dispatcher, decision, now), "b1");
    }
    let bound = decide(&mut dispatcher, homes(&["a"]), now);
    assert_eq!(refusal(bound), (Refusal::Evacuated, DispatchSettings::default().evacuation_retry));
    dispatcher.set_evacuated(zone("b1"), true);
    let all = decide(&mut dispatcher, Homes::ANYWHERE, now);
    assert_eq!(refusal(all).0, Refusal::Evacuated);
    dispatcher.set_evacuated(zone("a1"), false);
    let back = decide(&mut dispatcher, Homes::ANYWHERE, now);
    assert_eq!(sent_to(&dispatcher, back, now), "a1");
}

/// Guards against an older copy of the store that takes a zone back which the operator has not, and
/// against an evacuation that stays for ever.
#[test]
fn an_older_copy_takes_no_zone_back_at_once() {
    let now = Instant::now();
    let until = now + Duration::from_secs(2);
    let mut dispatcher = dispatcher(&[], now);
    let evacuated = |dispatcher: &Dispatcher| -> Vec<String> {
        dispatcher.evacuated_zones().map(Zone::to_string).collect()
    };
    let none = BTreeSet::new();
    dispatcher.set_evacuated(zone("a1"), true);
    dispatcher.replace_evacuated(BTreeSet::from([zone("b1")]), Absence::Restoration { until });
    assert_eq!(evacuated(&dispatcher), ["a1", "b1"]);
    dispatcher.replace_evacuated(BTreeSet::from([zone("b1")]), Absence::Restoration { until });
    assert!(dispatcher.end_unlisted_evacuations(until - Duration::from_millis(1)).is_empty());
    dispatcher.end_unlisted_evacuations(until);
    assert_eq!(evacuated(&dispatcher), ["b1"]);
    dispatcher.set_evacuated(zone("a1"), true);
    dispatcher.replace_evacuated(BTreeSet::from([zone("b1")]), Absence::Outage { until });
    assert_eq!(evacuated(&dispatcher), ["b1"]);
    dispatcher.replace_evacuated(none.clone(), Absence::Restoration { until });
    dispatcher.set_evacuated(zone("b1"), true);
    dispatcher.end_unlisted_evacuations(until);
    assert_eq!(evacuated(&dispatcher), ["b1"]);
    dispatcher.replace_evacuated(none, Absence::Left);
    assert!(evacuated(&dispatcher).is_empty());
}
