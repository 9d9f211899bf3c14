//! Endpoints that left, and a store that comes back from an older copy in which they are still in use.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointId, EndpointState, EndpointUpdate};
use dispatch::{
    Absence, Decision, DispatchSettings, Dispatcher, EndpointChange, EndpointOutcome, ListingOrigin,
};
use fastrand::Rng;

/// Time after which the store has removed the entry of a silent endpoint.
const REMOVAL_TIME: Duration = Duration::from_millis(3600);
/// Time after which an entry that is still listed counts as that of a live endpoint.
const PROOF_TIME: Duration = Duration::from_secs(6);

fn id(n: u16) -> EndpointId {
    format!("i-{n}").parse().unwrap()
}

/// Each endpoint has a service of its own, so that a request shows whether it is used.
fn service(n: u16) -> ServiceId {
    format!("s-{n}").parse().unwrap()
}

/// A run of an endpoint. Its port names the run.
fn ready(n: u16, run: u16) -> Endpoint {
    Endpoint {
        id: id(n),
        service: service(n),
        addr: format!("10.0.0.{n}:{run}").parse().unwrap(),
        zone: "a".parse().unwrap(),
        slots: 4,
        state: EndpointState::Ready,
        started_at_ms: Some(run.into()),
        cold_time: Duration::ZERO,
        held: Vec::new(),
        serves_model: false,
    }
}

fn draining(n: u16, run: u16) -> Endpoint {
    Endpoint { state: EndpointState::Draining, ..ready(n, run) }
}

fn dispatcher() -> Dispatcher {
    let zone: Zone = "a".parse().unwrap();
    Dispatcher::new(DispatchSettings::default(), zone.clone(), [(zone, "r".parse().unwrap())])
}

fn publish(dispatcher: &mut Dispatcher, endpoint: Endpoint, now: Instant) {
    dispatcher.apply_listing(EndpointUpdate::Published(endpoint), now);
}

fn remove(dispatcher: &mut Dispatcher, n: u16, now: Instant) {
    dispatcher.handle_missing(vec![id(n)], Absence::Left, now);
}

fn read(
    dispatcher: &mut Dispatcher,
    all: &[Endpoint],
    origin: ListingOrigin,
    now: Instant,
) -> Vec<EndpointChange> {
    dispatcher.replace_listing(all.to_vec(), origin, Absence::Left, now)
}

fn read_copy(dispatcher: &mut Dispatcher, all: &[Endpoint], now: Instant) -> Vec<EndpointChange> {
    read(dispatcher, all, ListingOrigin::OlderCopy, now)
}

/// The run of an endpoint that gets requests now.
fn used_run(dispatcher: &mut Dispatcher, n: u16, now: Instant) -> Option<u16> {
    let request = common::request(service(n), now);
    match dispatcher.submit(request, now).1 {
        Decision::Send { endpoint, in_flight, .. } => {
            let port = dispatcher.endpoint(endpoint, now).unwrap().addr.port();
            let outcome = EndpointOutcome::Inconclusive;
            dispatcher.record_result(endpoint, in_flight, outcome, now);
            Some(port)
        }
        Decision::Refuse { .. } => None,
        Decision::Wait => panic!("endpoint {n} has room"),
    }
}

/// Guards against requests to an endpoint whose draining this process had seen.
#[test]
fn an_older_copy_does_not_end_draining() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    publish(&mut dispatcher, draining(1, 1), now);
    let changes = read_copy(&mut dispatcher, &[ready(1, 1)], now);
    assert_eq!(changes, [EndpointChange::SetAside(id(1))]);
    assert_eq!(used_run(&mut dispatcher, 1, now), None);
}

/// Guards against requests to an endpoint whose removal this process had seen.
#[test]
fn an_older_copy_does_not_bring_back_a_removed_endpoint() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    publish(&mut dispatcher, ready(2, 1), now);
    remove(&mut dispatcher, 1, now);
    dispatcher.apply_listing(EndpointUpdate::Removed(id(2)), now);
    read_copy(&mut dispatcher, &[ready(1, 1), ready(2, 1)], now);
    assert_eq!(used_run(&mut dispatcher, 1, now), None);
    assert_eq!(used_run(&mut dispatcher, 2, now), None);
}

#[test]
fn without_an_older_copy_an_endpoint_comes_back_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    remove(&mut dispatcher, 1, now);
    read(&mut dispatcher, &[ready(1, 1)], ListingOrigin::Current, now);
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(1));
}

#[test]
fn a_later_start_under_the_same_name_is_used_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    publish(&mut dispatcher, draining(1, 1), now);
    publish(&mut dispatcher, ready(2, 1), now);
    remove(&mut dispatcher, 2, now);
    read_copy(&mut dispatcher, &[ready(1, 2), ready(2, 2)], now);
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(2));
    assert_eq!(used_run(&mut dispatcher, 2, now), Some(2));
}

/// Guards against requests to the address of a run that this process had seen replaced.
#[test]
fn an_older_copy_does_not_bring_back_an_earlier_run() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 2), now);
    publish(&mut dispatcher, ready(2, 2), now);
    remove(&mut dispatcher, 2, now);
    read_copy(&mut dispatcher, &[ready(1, 1), ready(2, 1)], now);
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(2));
    assert_eq!(used_run(&mut dispatcher, 2, now), None);
}

#[test]
fn an_entry_that_is_written_again_is_alive() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    remove(&mut dispatcher, 1, now);
    read_copy(&mut dispatcher, &[ready(1, 1)], now);
    publish(&mut dispatcher, ready(1, 1), now);
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(1));
    // The proof holds for later reads as well.
    read_copy(&mut dispatcher, &[ready(1, 1)], now);
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(1));
}

#[test]
fn an_entry_that_stays_listed_is_alive() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    remove(&mut dispatcher, 1, now);
    publish(&mut dispatcher, draining(2, 1), now);
    let copy = [ready(1, 1), ready(2, 1)];
    read_copy(&mut dispatcher, &copy, now);
    // A history that is dropped meanwhile proves nothing.
    read(&mut dispatcher, &copy, ListingOrigin::Current, now + REMOVAL_TIME);
    let proved = now + PROOF_TIME;
    // Time alone proves nothing: the store may not have answered since.
    assert!(dispatcher.readmit_listed(proved - Duration::from_millis(1), proved).is_empty());
    assert_eq!(used_run(&mut dispatcher, 1, now), None);
    assert_eq!(used_run(&mut dispatcher, 2, now), None);
    assert_eq!(dispatcher.readmit_listed(proved, proved).len(), 2);
    assert_eq!(used_run(&mut dispatcher, 1, proved), Some(1));
    assert_eq!(used_run(&mut dispatcher, 2, proved), Some(1));
}

#[test]
fn an_entry_that_is_removed_again_does_not_come_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    publish(&mut dispatcher, draining(1, 1), now);
    publish(&mut dispatcher, ready(2, 1), now);
    remove(&mut dispatcher, 2, now);
    read_copy(&mut dispatcher, &[ready(1, 1), ready(2, 1)], now);
    remove(&mut dispatcher, 1, now + REMOVAL_TIME);
    read(&mut dispatcher, &[], ListingOrigin::Current, now + REMOVAL_TIME);
    let later = now + PROOF_TIME;
    assert!(dispatcher.readmit_listed(later, later).is_empty());
    assert_eq!(used_run(&mut dispatcher, 1, later), None);
    assert_eq!(used_run(&mut dispatcher, 2, later), None);
}

#[test]
fn an_entry_that_lapsed_during_an_outage_comes_back_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    let all = [ready(1, 1), ready(2, 1)];
    all.iter().for_each(|endpoint| publish(&mut dispatcher, endpoint.clone(), now));
    let until = now + Duration::from_secs(2);
    let origin = ListingOrigin::OlderCopy;
    assert!(
        dispatcher.replace_listing(Vec::new(), origin, Absence::Outage { until }, now).is_empty()
    );
    assert_eq!(dispatcher.remove_lapsed(until).len(), 2);
    read_copy(&mut dispatcher, &all, until);
    assert_eq!(used_run(&mut dispatcher, 1, until), Some(1));
    assert_eq!(used_run(&mut dispatcher, 2, until), Some(1));
}

#[test]
fn a_departure_is_forgotten_after_a_while_and_the_oldest_first() {
    let now = Instant::now();
    let mut dispatcher = dispatcher();
    for n in 1..=2 {
        publish(&mut dispatcher, ready(n, 1), now);
        remove(&mut dispatcher, n, now + Duration::from_millis(n.into()));
    }
    for n in 0..1023 {
        let other = Endpoint { id: format!("o-{n}").parse().unwrap(), ..ready(3, 1) };
        publish(&mut dispatcher, other.clone(), now);
        dispatcher.handle_missing(vec![other.id], Absence::Left, now + Duration::from_secs(1));
    }
    read_copy(&mut dispatcher, &[ready(1, 1), ready(2, 1)], now + Duration::from_secs(2));
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(1), "the oldest of 1025 departures");
    assert_eq!(used_run(&mut dispatcher, 2, now), None);
    let mut dispatcher = self::dispatcher();
    publish(&mut dispatcher, ready(1, 1), now);
    remove(&mut dispatcher, 1, now);
    read_copy(&mut dispatcher, &[ready(1, 1)], now + Duration::from_secs(31));
    assert_eq!(used_run(&mut dispatcher, 1, now), Some(1));
}

/// What an endpoint really does.
#[derive(Clone, Copy, PartialEq)]
enum Life {
    Serving,
    Draining,
    Gone,
}

/// Endpoints, the store and one gateway that follows it.
struct Model {
    rng: Rng,
    now: Instant,
    dispatcher: Dispatcher,
    lives: BTreeMap<u16, (u16, Life)>,
    listed: BTreeMap<u16, Endpoint>,
    copy: BTreeMap<u16, Endpoint>,
    /// When entries that the store lost or brought back are right again.
    repairs: BTreeMap<u16, Instant>,
    /// Runs whose leaving the gateway has seen.
    seen_leaving: BTreeSet<(u16, u16)>,
}

/// Number of endpoints.
const ENDPOINTS: u16 = 6;
/// Time between two events.
const STEP: Duration = Duration::from_millis(300);

impl Model {
    fn new(seed: u64) -> Model {
        let mut model = Model {
            rng: Rng::with_seed(seed),
            now: Instant::now(),
            dispatcher: dispatcher(),
            lives: BTreeMap::new(),
            listed: BTreeMap::new(),
            copy: BTreeMap::new(),
            repairs: BTreeMap::new(),
            seen_leaving: BTreeSet::new(),
        };
        (1..=ENDPOINTS).for_each(|n| model.enter(n, 1, Life::Serving));
        model.copy = model.listed.clone();
        model
    }

    /// An endpoint changes and writes that to the store, which tells the gateway.
    fn enter(&mut self, n: u16, run: u16, life: Life) {
        self.lives.insert(n, (run, life));
        self.repairs.remove(&n);
        if life != Life::Serving {
            self.seen_leaving.insert((n, run));
        }
        let entry = match life {
            Life::Serving => ready(n, run),
            Life::Draining => draining(n, run),
            Life::Gone => {
                self.listed.remove(&n);
                return remove(&mut self.dispatcher, n, self.now);
            }
        };
        self.listed.insert(n, entry.clone());
        publish(&mut self.dispatcher, entry, self.now);
    }

    /// The store comes back from the copy; within the time for that, all entries are right again.
    fn restore(&mut self) {
        self.listed = self.copy.clone();
        for n in self.lives.keys() {
            let delay = self.rng.u64(0..=REMOVAL_TIME.as_millis() as u64);
            self.repairs.insert(*n, self.now + Duration::from_millis(delay));
        }
        self.read(ListingOrigin::OlderCopy);
    }

    fn read(&mut self, origin: ListingOrigin) {
        let all: Vec<Endpoint> = self.listed.values().cloned().collect();
        read(&mut self.dispatcher, &all, origin, self.now);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.dispatcher.readmit_listed(self.now, self.now);
        let due = self.repairs.iter().filter(|(_, at)| **at <= self.now);
        let due: Vec<u16> = due.map(|(n, _)| *n).collect();
        for n in due {
            self.repair(n);
        }
        let n = self.rng.u16(1..=ENDPOINTS);
        let (run, life) = self.lives[&n];
        match (self.rng.u8(0..12), life) {
            (0, _) => self.restore(),
            (1, _) => self.read(ListingOrigin::Current),
            (2..=4, _) => self.copy = self.listed.clone(),
            (5..=6, Life::Serving) => self.enter(n, run, Life::Draining),
            (7, Life::Serving) | (7..=9, Life::Draining) => self.enter(n, run, Life::Gone),
            (7..=9, Life::Gone) => self.enter(n, run + 1, Life::Serving),
            _ => {}
        }
    }

    /// Makes an entry right again; one that is right already does not change.
    fn repair(&mut self, n: u16) {
        self.repairs.remove(&n);
        let (run, life) = self.lives[&n];
        let right = match life {
            Life::Serving => Some(ready(n, run)),
            Life::Draining => Some(draining(n, run)),
            Life::Gone => None,
        };
        if self.listed.get(&n) != right.as_ref() {
            self.enter(n, run, life);
        }
    }

    fn check(&mut self, seed: u64) {
        for (n, (run, life)) in self.lives.clone() {
            let used = used_run(&mut self.dispatcher, n, self.now);
            let has_left = used.is_some_and(|used| self.seen_leaving.contains(&(n, used)));
            assert!(!has_left, "seed {seed}: run {used:?} of {n} had left");
            if life == Life::Serving && !self.repairs.contains_key(&n) {
                assert_eq!(used, Some(run), "seed {seed}: run of {n}");
            }
        }
    }
}

#[test]
fn no_endpoint_that_left_is_used_and_all_others_are_whatever_copy_the_store_comes_back_from() {
    for seed in 0..200 {
        let mut model = Model::new(seed);
        for _ in 0..200 {
            model.step();
            model.check(seed);
        }
    }
}
