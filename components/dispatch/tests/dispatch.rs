//! Which endpoint requests are sent to, and which requests wait or are refused.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::time::{Duration, Instant};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointId, EndpointState, EndpointUpdate, EngineProfile, WeightsVersion};
use dispatch::{
    Absence, Decision, DispatchSettings, Dispatcher, EndpointChange, EndpointKey, EndpointOutcome,
    EngineStatus, GenerationSize, InFlightKey, ListingOrigin, PendingRequest, Refusal,
    VersionRequirement,
};

fn zone(name: &str) -> Zone {
    name.parse().unwrap()
}

/// Time that endpoints with lapsed registrations have to come back.
const RELIST: Duration = Duration::from_secs(2);

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn profile() -> EngineProfile {
    common::profile()
}

fn endpoint(n: u8, zone_name: &str) -> Endpoint {
    Endpoint { zone: zone(zone_name), ..common::engine(service(), n.into()) }
}

/// A dispatcher in zone `a` of regions `r` (zones `a`, `b`) and `s` (zone `c`).
fn dispatcher(endpoints: &[Endpoint], now: Instant) -> Dispatcher {
    let zones = [("a", "r"), ("b", "r"), ("c", "s")];
    let zones = zones.map(|(z, r)| (zone(z), r.parse().unwrap()));
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone("a"), zones);
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    for endpoint in endpoints {
        dispatcher.apply_listing(EndpointUpdate::Published(endpoint.clone()), now);
    }
    dispatcher
}

fn request(now: Instant) -> PendingRequest {
    PendingRequest {
        size: Some(GenerationSize { prompt_tokens: 1000.0, ..GenerationSize::default() }),
        max_event_gap: Some(Duration::from_millis(400)),
        ..common::request(service(), now)
    }
}

fn sent(decision: Decision) -> (EndpointKey, InFlightKey) {
    match decision {
        Decision::Send { endpoint, in_flight, .. } => (endpoint, in_flight),
        other => panic!("{other:?}"),
    }
}

fn id(dispatcher: &Dispatcher, key: EndpointKey, now: Instant) -> EndpointId {
    dispatcher.endpoint(key, now).unwrap().id
}

/// The endpoints that `count` requests are sent to, one after the other.
fn chosen(dispatcher: &mut Dispatcher, count: usize, now: Instant) -> Vec<String> {
    let mut all = Vec::new();
    for _ in 0..count {
        let (key, _) = sent(dispatcher.submit(request(now), now).1);
        all.push(id(dispatcher, key, now).to_string());
    }
    all
}

fn status(running: u32, version: u64, sequence: u32) -> EngineStatus {
    EngineStatus {
        serving: version > 0,
        version: Some(WeightsVersion(version)).filter(|v| v.0 > 0),
        waiting: 0,
        running,
        cache_share: None,
        slowdown: 1.0,
        is_preferred: true,
        agent_run: 1,
        sequence,
    }
}

fn report(dispatcher: &mut Dispatcher, n: u8, status: EngineStatus, now: Instant) {
    let keys: Vec<EndpointKey> =
        dispatcher.endpoints_on_vm(format!("10.0.0.{n}").parse().unwrap()).collect();
    for key in keys {
        dispatcher.apply_report(key, status.clone(), now);
    }
}

#[test]
fn requests_stay_in_their_zone_while_it_meets_the_objective() {
    let now = Instant::now();
    let all = [endpoint(1, "a"), endpoint(2, "a"), endpoint(3, "b"), endpoint(4, "c")];
    let mut dispatcher = dispatcher(&all, now);
    let mut first = chosen(&mut dispatcher, 2, now);
    first.sort();
    assert_eq!(first, ["i-1", "i-2"]);
    let later = chosen(&mut dispatcher, 6, now);
    assert!(later.iter().any(|id| id == "i-3" || id == "i-4"), "{later:?}");
}

#[test]
fn reported_requests_of_other_entries_count() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], now);
    report(&mut dispatcher, 1, status(4, 1, 1), now);
    report(&mut dispatcher, 2, status(0, 1, 1), now);
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-2"]);
    // A report that arrives out of order is ignored.
    report(&mut dispatcher, 2, status(4, 1, 2), now);
    report(&mut dispatcher, 2, status(0, 1, 1), now);
    report(&mut dispatcher, 1, status(0, 1, 2), now);
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-1"]);
}

#[test]
fn draining_and_removed_endpoints_get_no_new_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], now);
    let draining = Endpoint { state: EndpointState::Draining, ..endpoint(1, "a") };
    let change = dispatcher.apply_listing(EndpointUpdate::Published(draining), now);
    assert!(matches!(change, Some(EndpointChange::Leaving(_))));
    assert_eq!(chosen(&mut dispatcher, 2, now), ["i-2", "i-2"]);
    let gone = dispatcher.apply_listing(EndpointUpdate::Removed("i-2".parse().unwrap()), now);
    assert!(matches!(gone, Some(EndpointChange::Removed(..))));
    let decision = dispatcher.submit(request(now), now).1;
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::NoEndpoint, .. }));
}

#[test]
fn a_reused_address_belongs_to_the_new_endpoint() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let (old, _) = sent(dispatcher.submit(request(now), now).1);
    let moved = Endpoint { service: "other".parse().unwrap(), ..endpoint(1, "a") };
    dispatcher.apply_listing(EndpointUpdate::Published(moved), now);
    assert_eq!(dispatcher.endpoint(old, now), None);
    // An endpoint that restarted under its old id is a new one as well.
    let again = Endpoint { started_at_ms: Some(2), ..endpoint(1, "a") };
    assert!(matches!(
        dispatcher.apply_listing(EndpointUpdate::Published(again), now),
        Some(EndpointChange::Added(_))
    ));
}

#[test]
fn endpoints_that_lapsed_during_a_store_outage_get_time_to_come_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], now);
    let absence = Absence::Outage { until: now + RELIST };
    assert!(
        dispatcher.replace_listing(Vec::new(), ListingOrigin::Current, absence, now).is_empty()
    );
    assert_eq!(chosen(&mut dispatcher, 1, now).len(), 1);
    dispatcher.apply_listing(EndpointUpdate::Published(endpoint(1, "a")), now);
    assert!(dispatcher.remove_lapsed(now + RELIST - Duration::from_millis(1)).is_empty());
    let dropped = dispatcher.remove_lapsed(now + RELIST);
    assert!(matches!(&dropped[..], [EndpointChange::Removed(_, id)] if id.as_str() == "i-2"));
}

/// Guards against keeping a removed endpoint: a gateway that alone was refused by the store learns
/// on its return that an endpoint left, and must not take it for a lapsed registration.
#[test]
fn one_endpoint_that_left_while_the_store_refused_this_process_is_removed_at_once() {
    let now = Instant::now();
    let all: Vec<Endpoint> = (1..=8).map(|n| endpoint(n, "a")).collect();
    let mut dispatcher = dispatcher(&all, now);
    let absence = Absence::Outage { until: now + RELIST };
    let changes = dispatcher.handle_missing(vec!["i-3".parse().unwrap()], absence, now);
    assert!(matches!(&changes[..], [EndpointChange::Removed(_, id)] if id.as_str() == "i-3"));
    let rest = all.into_iter().filter(|e| e.id.as_str() != "i-4" && e.id.as_str() != "i-3");
    let changes = dispatcher.replace_listing(rest.collect(), ListingOrigin::Current, absence, now);
    assert!(
        changes.iter().any(|c| matches!(c, EndpointChange::Removed(_, id) if id.as_str() == "i-4"))
    );
}

/// Guards against removing a running endpoint: the copy from which the store came back is older than
/// the endpoint's registration, which is written again a moment later.
#[test]
fn an_endpoint_that_a_restored_store_lacks_gets_time_to_come_back() {
    let now = Instant::now();
    let all: Vec<Endpoint> = (1..=8).map(|n| endpoint(n, "a")).collect();
    let mut dispatcher = dispatcher(&all, now);
    let absence = Absence::Restoration { until: now + RELIST };
    let removals = |changes: Vec<EndpointChange>| {
        let removed = |change: EndpointChange| match change {
            EndpointChange::Removed(_, id) => Some(id.to_string()),
            _ => None,
        };
        changes.into_iter().filter_map(removed).collect::<Vec<_>>()
    };
    let copy = all[2..].to_vec();
    assert!(
        removals(dispatcher.replace_listing(copy, ListingOrigin::OlderCopy, absence, now))
            .is_empty()
    );
    dispatcher.apply_listing(EndpointUpdate::Published(endpoint(1, "a")), now);
    assert!(dispatcher.remove_lapsed(now + RELIST - Duration::from_millis(1)).is_empty());
    assert_eq!(removals(dispatcher.remove_lapsed(now + RELIST)), ["i-2"]);
}

#[test]
fn a_second_read_of_a_restored_store_does_not_prolong_the_time() {
    let now = Instant::now();
    let all = [endpoint(1, "a"), endpoint(2, "a")];
    let mut dispatcher = dispatcher(&all, now);
    for until in [now + RELIST, now + 2 * RELIST] {
        dispatcher.replace_listing(
            vec![endpoint(1, "a")],
            ListingOrigin::OlderCopy,
            Absence::Restoration { until },
            now,
        );
    }
    assert_eq!(dispatcher.remove_lapsed(now + RELIST).len(), 1);
}

#[test]
fn endpoints_that_are_missing_while_the_store_answers_are_removed_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], now);
    let changes = dispatcher.replace_listing(
        vec![endpoint(1, "a")],
        ListingOrigin::Current,
        Absence::Left,
        now,
    );
    assert!(
        changes.iter().any(|c| matches!(c, EndpointChange::Removed(_, id) if id.as_str() == "i-2"))
    );
}

#[test]
fn older_weights_answer_only_until_newer_ones_are_required() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "b")], now);
    report(&mut dispatcher, 1, status(0, 1, 1), now);
    report(&mut dispatcher, 2, status(0, 2, 1), now);
    let required = |version, after| VersionRequirement {
        version: WeightsVersion(version),
        effective_at: now + Duration::from_millis(after),
        last_start: now + Duration::from_millis(after),
    };
    dispatcher.set_version_requirements(&service(), vec![required(2, 500), required(3, 3000)]);
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-1"]);
    let due = now + Duration::from_millis(500);
    let (key, _) = sent(dispatcher.submit(request(due), due).1);
    let view = dispatcher.endpoint(key, due).unwrap();
    assert_eq!((view.id.as_str(), view.version), ("i-2", Some(WeightsVersion(2))));
}

#[test]
fn an_engine_that_is_loading_or_empty_gets_no_requests() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "b")], now);
    report(&mut dispatcher, 1, status(0, 0, 1), now);
    assert_eq!(chosen(&mut dispatcher, 2, now), ["i-2", "i-2"]);
    // Without a recent report the published data counts.
    let late = now + DispatchSettings::default().max_report_age;
    assert_eq!(chosen(&mut dispatcher, 1, late), ["i-1"]);
    let empty = Endpoint { held: Vec::new(), ..endpoint(1, "a") };
    dispatcher.apply_listing(EndpointUpdate::Published(empty), late);
    assert_eq!(chosen(&mut dispatcher, 1, late), ["i-2"]);
}

#[test]
fn under_overload_requests_wait_until_capacity_is_free() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let mut sent_requests = Vec::new();
    let (waiting, _) = loop {
        match dispatcher.submit(request(now), now) {
            (Some(key), Decision::Wait) => break (key, ()),
            (_, decision) => sent_requests.push(sent(decision)),
        }
    };
    assert!((2..=8).contains(&sent_requests.len()), "{}", sent_requests.len());
    let (second, _) = dispatcher.submit(request(now), now);
    let soon = now + Duration::from_millis(50);
    assert!(dispatcher.poll(soon).is_empty());
    for (endpoint, in_flight) in sent_requests {
        dispatcher.record_result(endpoint, in_flight, EndpointOutcome::Answered, soon);
    }
    let decided = dispatcher.poll(soon);
    assert!(matches!(decided[0], (key, Decision::Send { .. }) if key == waiting));
    dispatcher.cancel(second.unwrap());
    assert_eq!(dispatcher.waiting(), 0);
}

#[test]
fn a_request_waits_at_most_half_of_its_objective() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    report(&mut dispatcher, 1, status(40, 1, 1), now);
    let (key, decision) = dispatcher.submit(request(now), now);
    assert_eq!(decision, Decision::Wait);
    let half = now + Duration::from_millis(200);
    assert!(dispatcher.poll(half - Duration::from_millis(1)).is_empty());
    let decided = dispatcher.poll(half);
    assert_eq!(Some(decided[0].0), key);
    assert!(matches!(decided[0].1, Decision::Refuse { reason: Refusal::Overload, .. }));
}

#[test]
fn an_endpoint_that_refuses_is_paused() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "b")], now);
    let (first, in_flight) = sent(dispatcher.submit(request(now), now).1);
    assert_eq!(id(&dispatcher, first, now).as_str(), "i-1");
    dispatcher.record_result(first, in_flight, EndpointOutcome::Refused, now);
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-2"]);
    let later = now + Duration::from_secs(1);
    assert_eq!(chosen(&mut dispatcher, 1, later), ["i-1"]);
}

/// Guards against counting one silence twice, which takes an endpoint that only paused out of use.
#[test]
fn a_silent_endpoint_is_lost_once_and_answers_when_it_goes_on() {
    let now = Instant::now();
    let usable = |dispatcher: &mut Dispatcher| {
        !matches!(dispatcher.submit(request(now), now).1, Decision::Refuse { .. } | Decision::Wait)
    };
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let (key, lost) = sent(dispatcher.submit(request(now), now).1);
    assert!(dispatcher.record_silence(key, lost, now));
    assert!(!dispatcher.record_silence(key, lost, now));
    dispatcher.record_result(key, lost, EndpointOutcome::Lost, now);
    assert!(usable(&mut dispatcher), "one loss");
    let (_, pausing) = sent(dispatcher.submit(request(now), now).1);
    assert!(dispatcher.record_silence(key, pausing, now));
    assert!(!usable(&mut dispatcher), "two losses");
    dispatcher.record_silence_end(key, pausing, now);
    assert!(usable(&mut dispatcher), "it goes on");
    dispatcher.record_result(key, pausing, EndpointOutcome::Lost, now);
    assert!(usable(&mut dispatcher), "one loss since it went on");
}

/// Guards against a prediction that grows with each pause of an endpoint.
#[test]
fn a_first_event_after_a_silence_is_an_answer_and_no_error_of_the_prediction() {
    let now = Instant::now();
    let later = now + Duration::from_secs(2);
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let request = PendingRequest { latency_objective: Duration::from_millis(250), ..request(now) };
    for _ in 0..20 {
        let (key, silent) = sent(dispatcher.submit(request.clone(), now).1);
        assert!(dispatcher.record_silence(key, silent, now));
        dispatcher.record_first_event(key, silent, later);
        dispatcher.record_result(key, silent, EndpointOutcome::Answered, later);
    }
    sent(dispatcher.submit(request, now).1);
}

#[test]
fn an_endpoint_is_not_tried_twice_for_one_request() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "c")], now);
    let (first, in_flight) = sent(dispatcher.submit(request(now), now).1);
    dispatcher.record_result(first, in_flight, EndpointOutcome::Lost, now);
    let second = PendingRequest { tried: vec![first], ..request(now) };
    let (second, _) = sent(dispatcher.submit(second, now).1);
    assert_ne!(first, second);
    let third = PendingRequest { tried: vec![first, second], ..request(now) };
    let decision = dispatcher.submit(third, now).1;
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::NoEndpoint, .. }));
}

#[test]
fn a_request_past_its_deadline_is_refused_as_late() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let late = PendingRequest { deadline: now, ..request(now) };
    let decision = dispatcher.submit(late, now).1;
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::Late, .. }));
}

#[test]
fn a_resumed_stream_avoids_an_endpoint_that_is_about_to_reload() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], now);
    report(&mut dispatcher, 1, status(0, 1, 1), now);
    report(&mut dispatcher, 2, status(1, 2, 1), now);
    let effective_at = now + Duration::from_secs(6);
    dispatcher.set_version_requirements(
        &service(),
        vec![VersionRequirement {
            version: WeightsVersion(2),
            effective_at,
            last_start: effective_at,
        }],
    );
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-1"]);
    let resumed = PendingRequest { is_resumed: true, ..request(now) };
    let (key, _) = sent(dispatcher.submit(resumed, now).1);
    assert_eq!(id(&dispatcher, key, now).as_str(), "i-2");
}

/// Sustained load above the capacity of all endpoints. Admitted requests must stay within their
/// objective and the engines must stay busy.
#[test]
fn under_long_overload_admitted_requests_meet_their_objective() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "a")], start);
    let (mut sent_count, mut refused) = (0u32, 0u32);
    let mut running: Vec<(EndpointKey, InFlightKey, Instant)> = Vec::new();
    for step in 0..2000u64 {
        let now = start + Duration::from_millis(10 * step);
        let done: Vec<_> = running.extract_if(.., |(_, _, end)| now >= *end).collect();
        for (endpoint, in_flight, _) in done {
            dispatcher.record_result(endpoint, in_flight, EndpointOutcome::Answered, now);
        }
        let mut decisions: Vec<Decision> = dispatcher.poll(now).into_iter().map(|d| d.1).collect();
        decisions.push(dispatcher.submit(request(now), now).1);
        for decision in decisions {
            match decision {
                Decision::Send { endpoint, in_flight, expected } => {
                    assert!(expected <= Duration::from_millis(400), "{expected:?}");
                    dispatcher.record_first_event(endpoint, in_flight, now + expected);
                    running.push((endpoint, in_flight, now + Duration::from_secs(1)));
                    sent_count += 1;
                }
                Decision::Refuse { retry_after, .. } => {
                    assert!(retry_after > Duration::ZERO);
                    refused += 1;
                }
                Decision::Wait => {}
            }
        }
    }
    assert!(sent_count >= 120, "8 slots for 20 s, a second each: {sent_count}");
    assert!(refused > 1000, "{refused}");
    assert!(dispatcher.waiting() < 64);
}

#[test]
fn a_resumed_stream_prefers_endpoints_that_finish_requests_before_loading() {
    let now = Instant::now();
    let all: Vec<Endpoint> = (1..=5).map(|n| endpoint(n, "a")).collect();
    let mut dispatcher = dispatcher(&all, now);
    let effective_at = now + Duration::from_secs(6);
    dispatcher.set_version_requirements(
        &service(),
        vec![VersionRequirement {
            version: WeightsVersion(2),
            effective_at,
            last_start: effective_at,
        }],
    );
    for _ in 0..4 {
        let resumed = PendingRequest { is_resumed: true, ..request(now) };
        let (key, _) = sent(dispatcher.submit(resumed, now).1);
        let id = id(&dispatcher, key, now);
        assert!(["i-4", "i-5"].contains(&id.as_str()), "{id}");
    }
}

/// Guards against refused requests while engines stand idle: newer weights were required a second
/// before a request would have begun on older ones too late, and no engine had them yet.
#[test]
fn older_weights_answer_what_begins_in_time_while_no_endpoint_has_the_required_ones() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a"), endpoint(2, "b")], now);
    report(&mut dispatcher, 1, status(0, 1, 1), now);
    report(&mut dispatcher, 2, status(0, 1, 1), now);
    let last_start = now + Duration::from_secs(1);
    let required = VersionRequirement { version: WeightsVersion(2), effective_at: now, last_start };
    dispatcher.set_version_requirements(&service(), vec![required]);
    let (key, _) = sent(dispatcher.submit(request(now), now).1);
    // The request names no version that the endpoint lacks.
    let view = |dispatcher: &Dispatcher, at| {
        let view = dispatcher.endpoint(key, at).unwrap();
        (view.version, view.is_outdated)
    };
    assert_eq!(view(&dispatcher, now), (None, true));
    assert_eq!(view(&dispatcher, last_start), (Some(WeightsVersion(2)), false));
    let late = last_start - Duration::from_millis(100);
    let decision = dispatcher.submit(request(late), late).1;
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::NoEndpoint, .. }));
    // An endpoint with the required weights comes first, however busy the other zone is.
    report(&mut dispatcher, 2, status(1, 2, 2), now);
    assert_eq!(chosen(&mut dispatcher, 1, now), ["i-2"]);
}

/// Guards against urgent requests that are refused because less urgent ones fill the queue.
#[test]
fn an_urgent_request_takes_the_place_of_a_less_urgent_one_in_a_full_queue() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(&[endpoint(1, "a")], now);
    let ranked = |priority| {
        let urgency = dispatch::Urgency::new(None, catalog::Priority(priority));
        let rank = dispatch::Rank { urgency, was_refused: false };
        PendingRequest { rank, ..request(now) }
    };
    let max = DispatchSettings::default().max_waiting;
    let mut decisions = (0..2 * max).map(|_| dispatcher.submit(ranked(1), now).1);
    let waiting = decisions.find(|decision| matches!(decision, Decision::Refuse { .. }));
    assert!(waiting.is_some());
    drop(decisions);
    assert_eq!(dispatcher.waiting(), max);
    let (urgent, decision) = dispatcher.submit(ranked(0), now);
    assert_eq!(decision, Decision::Wait);
    let decided = dispatcher.poll(now);
    assert_eq!((decided.len(), dispatcher.waiting()), (1, max));
    assert_ne!(Some(decided[0].0), urgent);
    assert!(matches!(decided[0].1, Decision::Refuse { reason: Refusal::Overload, .. }));
}
