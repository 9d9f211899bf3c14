//! Requests go to endpoints that name a limit only as far as it allows.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::time::{Duration, Instant};

use base::Rate;
use catalog::{Endpoint, EndpointUpdate};
use dispatch::{
    Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, LimitNews,
    PendingRequest, Refusal,
};

const OBJECTIVE: Duration = Duration::from_millis(400);

fn endpoint(n: u8, started_at_ms: u64) -> Endpoint {
    Endpoint {
        slots: 8,
        started_at_ms: Some(started_at_ms),
        ..common::endpoint("plain".parse().unwrap(), n.into())
    }
}

/// A dispatcher of a single gateway with endpoints of a plain service.
fn dispatcher(count: u8, now: Instant) -> Dispatcher {
    let mut dispatcher =
        Dispatcher::new(DispatchSettings::default(), "a".parse().unwrap(), Vec::new());
    for n in 1..=count {
        dispatcher.apply_listing(EndpointUpdate::Published(endpoint(n, 1)), now);
    }
    dispatcher
}

fn request(now: Instant) -> PendingRequest {
    PendingRequest {
        latency_objective: OBJECTIVE,
        deadline: now + Duration::from_secs(4),
        ..common::request("plain".parse().unwrap(), now)
    }
}

/// Sends a request that is answered at once. Returns its endpoint, or the decision.
fn send(dispatcher: &mut Dispatcher, now: Instant) -> Result<EndpointKey, Decision> {
    match dispatcher.submit(request(now), now).1 {
        Decision::Send { endpoint, in_flight, .. } => {
            dispatcher.record_result(endpoint, in_flight, EndpointOutcome::Answered, now);
            Ok(endpoint)
        }
        other => Err(other),
    }
}

fn key(dispatcher: &Dispatcher, n: u8) -> EndpointKey {
    let id = format!("i-{n}").parse().unwrap();
    dispatcher.listed_endpoints().find(|(_, endpoint)| endpoint.id == id).unwrap().0
}

fn after(start: Instant, ms: u64) -> Instant {
    start + Duration::from_millis(ms)
}

#[test]
fn requests_beyond_a_limit_go_to_other_endpoints() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(2, start);
    let limited = key(&dispatcher, 1);
    assert!(dispatcher.record_limit(limited, Some(Rate(2.0)), start, start));
    assert!(!dispatcher.record_limit(limited, Some(Rate(2.0)), start, start), "known");
    let sent = (1..=400).map(|n| send(&mut dispatcher, after(start, 25 * n)).unwrap());
    let count = sent.filter(|endpoint| *endpoint == limited).count();
    // 2 a second for 10 s.
    assert!((12..=20).contains(&count), "{count}");
}

/// Guards against requests that wait until their time is over though no endpoint will take them.
#[test]
fn a_request_that_gets_no_token_in_time_is_refused_at_once() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let limited = key(&dispatcher, 1);
    dispatcher.record_limit(limited, Some(Rate(0.5)), start, start);
    let Err(Decision::Refuse { reason, retry_after }) = send(&mut dispatcher, start) else {
        panic!("it is refused");
    };
    assert_eq!(reason, Refusal::Limited);
    assert!(retry_after >= Duration::from_millis(1500), "{retry_after:?}");
    assert_eq!(send(&mut dispatcher, after(start, 2100)), Ok(limited));
}

#[test]
fn a_request_waits_for_a_token_that_comes_in_time_and_the_next_one_is_refused() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let limited = key(&dispatcher, 1);
    dispatcher.record_limit(limited, Some(Rate(1.0)), start, start);
    let now = after(start, 900);
    let (waiting, decision) = dispatcher.submit(request(now), now);
    assert_eq!(decision, Decision::Wait);
    assert!(matches!(
        dispatcher.submit(request(now), now).1,
        Decision::Refuse { reason: Refusal::Limited, .. }
    ));
    assert!(dispatcher.poll(after(start, 950)).is_empty());
    let decided = dispatcher.poll(after(start, 1010));
    assert_eq!(decided.len(), 1);
    assert_eq!(Some(decided[0].0), waiting);
    assert!(matches!(decided[0].1, Decision::Send { .. }));
}

/// Guards against a limit that is taken for ended because of an answer from before it was named.
#[test]
fn only_an_answer_to_a_later_request_ends_a_limit() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let limited = key(&dispatcher, 1);
    dispatcher.record_limit(limited, Some(Rate(0.5)), start, after(start, 100));
    assert!(!dispatcher.record_limit(limited, None, after(start, 50), after(start, 200)));
    assert!(send(&mut dispatcher, after(start, 300)).is_err());
    assert!(dispatcher.record_limit(limited, None, after(start, 150), after(start, 400)));
    assert!(send(&mut dispatcher, after(start, 500)).is_ok());
}

#[test]
fn limits_and_their_ends_are_learned_from_other_gateways() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let news = |limit, seen_ms| LimitNews {
        endpoint: "i-1".parse().unwrap(),
        limit,
        seen_at: after(start, seen_ms),
        named_at: start,
        wanting: Vec::new(),
    };
    let now = after(start, 2000);
    assert!(dispatcher.record_limit_news(&news(Some(Rate(0.5)), 1000), now));
    assert!(send(&mut dispatcher, now).is_err());
    assert!(!dispatcher.record_limit_news(&news(None, 900), now), "older than the limit");
    assert!(dispatcher.record_limit_news(&news(None, 1500), now));
    assert!(send(&mut dispatcher, now).is_ok());
    assert!(!dispatcher.record_limit_news(&news(Some(Rate(0.5)), 1400), now), "older than the end");
    let unknown = LimitNews { endpoint: "i-9".parse().unwrap(), ..news(Some(Rate(1.0)), 1600) };
    assert!(!dispatcher.record_limit_news(&unknown, now));
}

#[test]
fn others_are_told_of_a_limit_while_requests_are_for_it_and_of_its_end() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let limited = key(&dispatcher, 1);
    dispatcher.record_limit(limited, Some(Rate(0.5)), start, start);
    assert!(dispatcher.take_limit_news(start).0.is_empty(), "no request is for it");
    assert!(send(&mut dispatcher, start).is_err());
    let (news, _) = dispatcher.take_limit_news(start);
    assert_eq!(news.len(), 1);
    assert_eq!(news[0].limit, Some(Rate(0.5)));
    let later = after(start, 1000);
    dispatcher.record_limit(limited, None, later, later);
    assert_eq!(dispatcher.take_limit_news(later).0[0].limit, None);
    assert!(dispatcher.take_limit_news(after(start, 9000)).0.is_empty());
}

#[test]
fn an_endpoint_that_starts_anew_has_named_no_limit() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(1, start);
    let limited = key(&dispatcher, 1);
    dispatcher.record_limit(limited, Some(Rate(0.1)), start, start);
    assert!(send(&mut dispatcher, start).is_err());
    dispatcher.apply_listing(EndpointUpdate::Published(endpoint(1, 2)), after(start, 10));
    assert!(send(&mut dispatcher, after(start, 20)).is_ok());
}
