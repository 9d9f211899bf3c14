//! Cold endpoints: a burst of requests reaches several gateways while endpoints that have just started
//! bear few. Guards against a crash by more requests than they bear, from all gateways together.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    net::Ipv4Addr,
    time::{Duration, Instant},
};

use base::{Rate, ServiceId};
use catalog::{ColdStart, Endpoint, EndpointUpdate};
use dispatch::{
    ColdSettings, Decision, DispatchSettings, Dispatcher, EndpointOutcome, PendingRequest, Refusal,
};
use fastrand::Rng;

/// Requests that a cold endpoint bears within a second: twice its rate, and three.
const ALLOWANCE: usize = 11;
const COLD: ColdStart = ColdStart { time: Duration::from_secs(5), request_rate: Rate(4.0) };
const MILLISECOND: Duration = Duration::from_millis(1);

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn endpoint(n: u16, cold_time: Duration) -> EndpointUpdate {
    EndpointUpdate::Published(Endpoint {
        slots: 1000,
        cold_time,
        ..common::endpoint(service(), n.into())
    })
}

fn request(now: Instant) -> PendingRequest {
    PendingRequest { latency_objective: Duration::from_secs(1), ..common::request(service(), now) }
}

fn gateway_ip(n: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 1, n)
}

/// The dispatcher of gateway `n` of `count`, which knows the others.
fn gateway(n: u8, count: u8) -> Dispatcher {
    let cold = ColdSettings { overage: 2.0, slack: 3.0, ..ColdSettings::default() };
    let settings = DispatchSettings { own_ip: gateway_ip(n), cold, ..DispatchSettings::default() };
    let zone = "a".parse().unwrap();
    let mut dispatcher = Dispatcher::new(settings, zone, Vec::new());
    dispatcher.set_cold_start(&service(), Some(COLD));
    let others: Vec<Ipv4Addr> = (0..count).filter(|other| *other != n).map(gateway_ip).collect();
    dispatcher.set_gateways(Some(&others), count.into());
    dispatcher
}

/// The most that `times` hold within a second.
fn busiest_second(mut times: Vec<Instant>) -> usize {
    times.sort_unstable();
    let within = |from: &Instant| {
        times.iter().filter(|at| **at >= *from && **at < *from + Duration::from_secs(1)).count()
    };
    times.iter().map(within).max().unwrap_or_default()
}

#[test]
fn all_gateways_together_send_a_cold_endpoint_what_it_bears() {
    for (seed, count) in (0u64..).zip([1, 2, 3, 7, 15, 40]) {
        let mut rng = Rng::with_seed(seed);
        let start = Instant::now();
        let mut gateways: Vec<Dispatcher> = (0..count).map(|n| gateway(n, count)).collect();
        for dispatcher in &mut gateways {
            let learned_at = start + MILLISECOND * rng.u32(..300);
            dispatcher.apply_listing(endpoint(1, COLD.time), learned_at);
        }
        let mut times = Vec::new();
        for ms in 300..4000 {
            let now = start + MILLISECOND * ms;
            let dispatcher = rng.choice(&mut gateways).unwrap();
            let decided = dispatcher.submit(request(now), now);
            let polled = dispatcher.poll(now).into_iter().map(|(_, decision)| decision);
            for decision in polled.chain([decided.1]) {
                if let Decision::Send { endpoint, in_flight, .. } = decision {
                    times.push(now);
                    let end = EndpointOutcome::Refused;
                    dispatcher.record_result(
                        endpoint,
                        in_flight,
                        end,
                        now - Duration::from_secs(1),
                    );
                }
            }
        }
        let busiest = busiest_second(times.clone());
        assert!(busiest <= ALLOWANCE, "{busiest} in a second, {count} gateways");
        assert!(times.len() >= 16, "{} in 3.7 s, {count} gateways", times.len());
    }
}

/// Guards against requests that wait for a cold endpoint or crash it while warm ones are free.
#[test]
fn what_a_cold_endpoint_does_not_bear_goes_to_warm_ones() {
    let now = Instant::now();
    let mut dispatcher = gateway(0, 1);
    dispatcher.apply_listing(endpoint(1, COLD.time), now);
    dispatcher.apply_listing(endpoint(2, Duration::ZERO), now);
    let mut counts = [0, 0];
    for _ in 0..100 {
        let (_, decision) = dispatcher.submit(request(now), now);
        let Decision::Send { endpoint, .. } = decision else { panic!("{decision:?}") };
        counts[usize::from(dispatcher.cold_time(endpoint, now).is_some())] += 1;
    }
    assert!(counts[1] <= 8 && counts[0] >= 92, "{counts:?}");
}

/// Guards against requests that wait in vain for slots which others get, and against a Retry-After that
/// is not when the endpoint bears more.
#[test]
fn as_many_requests_wait_as_will_get_a_slot_and_the_others_are_refused() {
    let now = Instant::now();
    let mut dispatcher = gateway(0, 1);
    dispatcher.apply_listing(endpoint(1, COLD.time), now);
    let impatient = Duration::from_millis(400);
    let request = |now| PendingRequest { latency_objective: impatient, ..request(now) };
    let decisions: Vec<Decision> =
        (0..10).map(|_| dispatcher.submit(request(now), now).1).collect();
    let sent = decisions.iter().filter(|d| matches!(d, Decision::Send { .. })).count();
    assert_eq!(sent, 8);
    let Decision::Refuse { reason: Refusal::Cold, retry_after } = decisions[9] else {
        panic!("{:?}", decisions[9])
    };
    assert_eq!(retry_after, Duration::from_millis(1100));
    let later = now + Duration::from_millis(1000);
    let (waiting, decision) = dispatcher.submit(request(later), later);
    assert_eq!(decision, Decision::Wait);
    let polled = dispatcher.poll(now + retry_after);
    assert_eq!(polled[0].0, waiting.unwrap());
    assert!(matches!(polled[0].1, Decision::Send { .. }));
}

/// Guards against requests that wait in vain, and are told that there is no endpoint, because a cold one
/// turned a request away before.
#[test]
fn a_cold_endpoint_that_turned_a_request_away_is_still_cold() {
    let now = Instant::now();
    let mut dispatcher = gateway(0, 1);
    dispatcher.apply_listing(endpoint(1, COLD.time), now);
    let impatient = Duration::from_millis(400);
    let request = |now| PendingRequest { latency_objective: impatient, ..request(now) };
    for _ in 0..8 {
        let (_, decision) = dispatcher.submit(request(now), now);
        let Decision::Send { endpoint, in_flight, .. } = decision else { panic!("{decision:?}") };
        let end = now - Duration::from_secs(1);
        dispatcher.record_result(endpoint, in_flight, EndpointOutcome::Refused, end);
    }
    let (_, decision) = dispatcher.submit(request(now), now);
    assert!(matches!(decision, Decision::Refuse { reason: Refusal::Cold, .. }), "{decision:?}");
}

/// Guards against a gateway that has just started and takes all that a cold endpoint bears, as it knows
/// no other gateway yet.
#[test]
fn a_gateway_that_knows_no_others_yet_prefers_warm_endpoints() {
    let now = Instant::now();
    let mut dispatcher = gateway(0, 1);
    dispatcher.set_gateways(None, 1);
    dispatcher.apply_listing(endpoint(1, COLD.time), now);
    let submit = |dispatcher: &mut Dispatcher| dispatcher.submit(request(now), now).1;
    assert!(matches!(submit(&mut dispatcher), Decision::Send { .. }));
    let second = submit(&mut dispatcher);
    assert!(matches!(second, Decision::Refuse { reason: Refusal::Cold, .. }), "{second:?}");
    dispatcher.apply_listing(endpoint(2, Duration::ZERO), now);
    dispatcher.apply_listing(endpoint(3, COLD.time), now);
    for _ in 0..50 {
        let Decision::Send { endpoint, .. } = submit(&mut dispatcher) else { panic!() };
        assert_eq!(dispatcher.cold_time(endpoint, now), None);
    }
}

/// Guards against endpoints that are spared for longer than they are cold, and against a limit on
/// services whose endpoints start at full capacity.
#[test]
fn an_endpoint_is_cold_by_the_word_of_its_newest_entry() {
    let now = Instant::now();
    let mut dispatcher = gateway(0, 1);
    let cold_time = |dispatcher: &Dispatcher, now| {
        let key = dispatcher.endpoint_keys().next().unwrap();
        dispatcher.cold_time(key, now)
    };
    dispatcher.apply_listing(endpoint(1, COLD.time), now);
    let later = now + Duration::from_secs(2);
    assert_eq!(cold_time(&dispatcher, later), Some(Duration::from_secs(3)));
    dispatcher.apply_listing(endpoint(1, Duration::from_secs(4)), later);
    assert_eq!(cold_time(&dispatcher, later), Some(Duration::from_secs(4)));
    assert_eq!(cold_time(&dispatcher, later + Duration::from_secs(4)), None);
    dispatcher.apply_listing(endpoint(1, COLD.time), later);
    dispatcher.apply_listing(endpoint(1, Duration::ZERO), later);
    assert_eq!(cold_time(&dispatcher, later), None);
    dispatcher.apply_listing(endpoint(1, COLD.time), later);
    dispatcher.set_cold_start(&service(), None);
    assert_eq!(cold_time(&dispatcher, later), None);
}
