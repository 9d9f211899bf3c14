//! Endpoints that asked to be sent nothing for a while, beside a naive model of when they may be used.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointId, EndpointUpdate, EngineProfile};
use dispatch::{
    Absence, Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, InFlightKey,
    PendingRequest, Refusal,
};
use fastrand::Rng;

/// Number of endpoints.
const COUNT: u16 = 4;
/// Number of steps of a random run.
const STEPS: usize = 400;
/// Seeds of the random runs.
const SEEDS: u64 = 200;

fn service() -> ServiceId {
    "s".parse().unwrap()
}

fn id(n: u16) -> EndpointId {
    format!("i-{n}").parse().unwrap()
}

fn endpoint(n: u16, run: u64) -> Endpoint {
    Endpoint { slots: 2, started_at_ms: Some(run), ..common::engine(service(), n.into()) }
}

fn dispatcher(count: u16, now: Instant) -> Dispatcher {
    let zone: Zone = "a".parse().unwrap();
    let zones = [(zone.clone(), "r".parse().unwrap())];
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone, zones);
    for n in 1..=count {
        dispatcher.apply_listing(EndpointUpdate::Published(endpoint(n, 1)), now);
    }
    dispatcher
}

fn profile() -> EngineProfile {
    EngineProfile { slots: 2, ..common::profile() }
}

fn request(now: Instant) -> PendingRequest {
    common::request(service(), now)
}

fn key_of(dispatcher: &Dispatcher, n: u16) -> Option<EndpointKey> {
    let mut listed = dispatcher.listed_endpoints();
    listed.find(|(_, listed)| listed.id == id(n)).map(|(key, _)| key)
}

/// The endpoints of a random run, and what they asked for.
struct Play {
    rng: Rng,
    now: Instant,
    dispatcher: Dispatcher,
    /// The run of each endpoint, and until when it asked to be sent nothing.
    asked: HashMap<u16, (u64, Option<Instant>)>,
    in_flight: Vec<(EndpointKey, InFlightKey)>,
}

impl Play {
    fn new(seed: u64, now: Instant) -> Play {
        let mut dispatcher = dispatcher(COUNT, now);
        if seed.is_multiple_of(2) {
            dispatcher.set_engine_profile(&service(), Some(&profile()));
        }
        let asked = (1..=COUNT).map(|n| (n, (1, None))).collect();
        Play { rng: Rng::with_seed(seed), now, dispatcher, asked, in_flight: Vec::new() }
    }

    fn step(&mut self) {
        self.now += Duration::from_millis(self.rng.u64(0..200));
        let n = self.rng.u16(1..=COUNT);
        match self.rng.u8(0..10) {
            0..3 => self.submit(),
            3 => self.poll(),
            4..6 => self.end_request(EndpointOutcome::Answered),
            6 => self.end_request(EndpointOutcome::Lost),
            7 => self.refuse(n),
            8 => self.lapse(n),
            _ => self.publish(n),
        }
    }

    fn submit(&mut self) {
        let mut request = request(self.now);
        request.is_resumed = self.rng.bool();
        request.was_refused = self.rng.bool();
        let (_, decision) = self.dispatcher.submit(request, self.now);
        self.check(decision);
    }

    fn poll(&mut self) {
        for (_, decision) in self.dispatcher.poll(self.now) {
            self.check(decision);
        }
    }

    fn check(&mut self, decision: Decision) {
        let Decision::Send { endpoint, in_flight, .. } = decision else { return };
        let view = self.dispatcher.endpoint(endpoint, self.now).unwrap();
        let asked = self.asked.iter().find(|(n, _)| id(**n) == view.id).unwrap().1.1;
        assert!(asked.is_none_or(|until| self.now >= until), "{} asked for none", view.id);
        self.in_flight.push((endpoint, in_flight));
    }

    fn end_request(&mut self, outcome: EndpointOutcome) {
        if self.in_flight.is_empty() {
            return;
        }
        let at = self.rng.usize(..self.in_flight.len());
        let (endpoint, in_flight) = self.in_flight.swap_remove(at);
        self.dispatcher.record_result(endpoint, in_flight, outcome, self.now);
    }

    fn refuse(&mut self, n: u16) {
        let Some(key) = key_of(&self.dispatcher, n) else { return };
        let time = Duration::from_millis(self.rng.u64(0..3000));
        self.dispatcher.record_backoff(key, time, self.now);
        let (_, until) = self.asked.get_mut(&n).unwrap();
        *until = (*until).max(Some(self.now + time));
        self.end_request(EndpointOutcome::Refused);
    }

    fn lapse(&mut self, n: u16) {
        self.dispatcher.handle_missing(vec![id(n)], Absence::Left, self.now);
    }

    /// Lists an endpoint again, at times a later run of it.
    fn publish(&mut self, n: u16) {
        let (run, until) = self.asked.get_mut(&n).unwrap();
        if self.rng.bool() {
            *run += 1;
            *until = None;
        }
        let listed = endpoint(n, *run);
        self.dispatcher.apply_listing(EndpointUpdate::Published(listed), self.now);
    }
}

/// Guards against requests of any kind at endpoints that asked for none, whatever happens meanwhile:
/// answers to older requests, losses, shorter times, entries that lapse and come back.
#[test]
fn endpoints_that_asked_for_no_requests_are_never_chosen() {
    let start = Instant::now();
    for seed in 0..SEEDS {
        let mut play = Play::new(seed, start);
        (0..STEPS).for_each(|_| play.step());
    }
}

/// Guards against a time that keeps a later run of the endpoint out of use.
#[test]
fn a_later_run_does_not_inherit_the_time() {
    let start = Instant::now();
    for lapses in [false, true] {
        let mut dispatcher = dispatcher(1, start);
        let key = key_of(&dispatcher, 1).unwrap();
        dispatcher.record_backoff(key, Duration::from_secs(60), start);
        assert!(dispatcher.is_backing_off(key, start));
        if lapses {
            dispatcher.handle_missing(vec![id(1)], Absence::Left, start);
        }
        dispatcher.apply_listing(EndpointUpdate::Published(endpoint(1, 2)), start);
        let (_, decision) = dispatcher.submit(request(start), start);
        assert!(matches!(decision, Decision::Send { .. }), "{decision:?}");
    }
}

/// Guards against requests that wait for an endpoint which is known not to come back in time, and
/// against a retry-after time that is too short.
#[test]
fn requests_wait_only_for_a_time_that_ends_soon() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(2, start);
    let keys = [1, 2].map(|n| key_of(&dispatcher, n).unwrap());
    dispatcher.record_backoff(keys[0], Duration::from_secs(5), start);
    dispatcher.record_backoff(keys[1], Duration::from_secs(3), start);
    let now = start + Duration::from_millis(500);
    let (_, decision) = dispatcher.submit(request(now), now);
    let retry_after = Duration::from_millis(2500);
    assert_eq!(decision, Decision::Refuse { reason: Refusal::Backoff, retry_after });
    let now = start + Duration::from_millis(2900);
    let (key, decision) = dispatcher.submit(request(now), now);
    assert_eq!(decision, Decision::Wait);
    let decided = dispatcher.poll(start + Duration::from_secs(3));
    assert!(matches!(decided[..], [(k, Decision::Send { .. })] if Some(k) == key), "{decided:?}");
}

/// Guards against an absurd time that overflows, and against callers that are told to wait as long.
#[test]
fn callers_are_told_to_wait_for_a_bounded_time() {
    let start = Instant::now();
    for time in [Duration::from_secs(24 * 3600), Duration::MAX] {
        let mut dispatcher = dispatcher(1, start);
        let key = key_of(&dispatcher, 1).unwrap();
        dispatcher.record_backoff(key, Duration::from_secs(3), start);
        dispatcher.record_backoff(key, time, start);
        assert!(dispatcher.is_backing_off(key, start + Duration::from_secs(1)));
        let (_, decision) = dispatcher.submit(request(start), start);
        let Decision::Refuse { retry_after, .. } = decision else { panic!("{decision:?}") };
        assert!(retry_after <= DispatchSettings::default().max_backoff_retry, "{retry_after:?}");
    }
}
