//! The memory of engines. Guards against engines that crash, with all their requests, as the requests that
//! gateways sent them need more cache than they have: long prompts that come together.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::time::{Duration, Instant};

use base::ServiceId;
use catalog::{Endpoint, EndpointUpdate, EngineProfile, WeightsVersion};
use dispatch::{
    Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, EngineStatus,
    GenerationSize, InFlightKey, PendingRequest, Refusal,
};

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

/// Engines of 16 slots, which never make a request wait for its objective.
fn profile(kv_cache_tokens: u64) -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_cache_tokens,
        step_time: Duration::from_millis(1),
        prefill_tokens_per_second: 10_000_000.0,
        mean_answer_tokens: 100,
        ..common::profile()
    }
}

fn engine(n: u8) -> Endpoint {
    Endpoint { slots: 16, ..common::engine(service(), n.into()) }
}

fn dispatcher(engines: u8, kv_cache_tokens: u64, now: Instant) -> Dispatcher {
    let zones = [("a".parse().unwrap(), "r".parse().unwrap())];
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), "a".parse().unwrap(), zones);
    dispatcher.set_engine_profile(&service(), Some(&profile(kv_cache_tokens)));
    for n in 1..=engines {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(n)), now);
    }
    dispatcher
}

/// A request with a prompt of `prompt` tokens and an answer of at most `max_answer`.
fn request(prompt: f64, max_answer: f64, now: Instant) -> PendingRequest {
    PendingRequest {
        size: Some(GenerationSize {
            prompt_tokens: prompt,
            max_answer_tokens: max_answer,
            answer_hint: None,
        }),
        latency_objective: Duration::from_secs(2),
        ..common::request(service(), now)
    }
}

fn sent(decision: Decision) -> (EndpointKey, InFlightKey) {
    match decision {
        Decision::Send { endpoint, in_flight, .. } => (endpoint, in_flight),
        other => panic!("{other:?}"),
    }
}

/// A report on an engine that runs one request of another gateway.
fn report(cache_share: f64) -> EngineStatus {
    EngineStatus {
        serving: true,
        version: Some(WeightsVersion(1)),
        waiting: 0,
        running: 1,
        cache_share: Some(cache_share),
        slowdown: 1.0,
        is_preferred: true,
        agent_run: 1,
        sequence: 1,
    }
}

#[test]
fn long_prompts_are_spread_and_wait_until_memory_is_free() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2, 10_000, now);
    let first = sent(dispatcher.submit(request(6000.0, 500.0, now), now).1);
    let second = sent(dispatcher.submit(request(6000.0, 500.0, now), now).1);
    assert_ne!(first.0, second.0);
    let (third, decision) = dispatcher.submit(request(6000.0, 500.0, now), now);
    assert_eq!(decision, Decision::Wait);
    assert!(dispatcher.poll(now).is_empty());
    // A short one still fits.
    let fourth = sent(dispatcher.submit(request(500.0, 500.0, now), now).1);
    dispatcher.record_result(fourth.0, fourth.1, EndpointOutcome::Answered, now);
    dispatcher.record_result(second.0, second.1, EndpointOutcome::Answered, now);
    let mut decided = dispatcher.poll(now);
    let (key, decision) = decided.pop().unwrap();
    assert_eq!((Some(key), sent(decision).0), (third, second.0));
}

#[test]
fn requests_of_other_gateways_count_by_the_reports() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2, 10_000, now);
    let (full, in_flight) = sent(dispatcher.submit(request(1000.0, 500.0, now), now).1);
    dispatcher.record_result(full, in_flight, EndpointOutcome::Answered, now);
    dispatcher.apply_report(full, report(0.95), now);
    for _ in 0..8 {
        assert_ne!(sent(dispatcher.submit(request(1000.0, 500.0, now), now).1).0, full);
    }
    // A report that is too old tells nothing.
    let later = now + DispatchSettings::default().max_report_age;
    assert_eq!(sent(dispatcher.submit(request(5000.0, 500.0, later), later).1).0, full);
}

#[test]
fn own_requests_are_not_counted_again_by_the_reports() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(1, 10_000, now);
    let (key, in_flight) = sent(dispatcher.submit(request(6000.0, 500.0, now), now).1);
    let later = now + Duration::from_millis(100);
    dispatcher.record_first_event(key, in_flight, later);
    dispatcher.apply_report(key, report(0.605), later);
    sent(dispatcher.submit(request(3000.0, 500.0, later), later).1);
}

/// A request that no engine can hold is refused at once, as it would crash each engine that runs it.
#[test]
fn a_request_larger_than_the_memory_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(2, 10_000, now);
    let (key, decision) = dispatcher.submit(request(6000.0, 4001.0, now), now);
    assert_eq!(key, None);
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::TooLarge, .. }), "{decision:?}");
    sent(dispatcher.submit(request(6000.0, 4000.0, now), now).1);
}

/// Deployments whose engines publish no memory, or much more than their slots use, are served as if there
/// were no such limit.
#[test]
fn ample_or_unknown_memory_never_binds() {
    for kv_cache_tokens in [0, 317_000] {
        let now = Instant::now();
        let mut limited = dispatcher(3, kv_cache_tokens, now);
        let mut unlimited = dispatcher(3, 0, now);
        for n in 0..64 {
            let size = request(f64::from(500 + 50 * n), 400.0, now);
            let decisions = [&mut limited, &mut unlimited].map(|d| d.submit(size.clone(), now).1);
            assert_eq!(decisions[0], decisions[1], "request {n}");
        }
    }
}
