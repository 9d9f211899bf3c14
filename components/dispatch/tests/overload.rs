//! Sustained overload: independent gateways of three zones that see the same delayed reports of their
//! engines, and callers of three urgencies that ask for more than all engines can serve.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointUpdate, EngineProfile, Priority, WeightsVersion};
use dispatch::{
    Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, EngineStatus,
    InFlightKey, PendingRequest, Rank, RequestKey, Urgency,
};
use slotmap::SecondaryMap;

const ZONES: usize = 3;
/// Gateways and engines of each zone.
const GATEWAYS: usize = 2;
const ENGINES: usize = 4;
/// Slots of the engines of a small and a large fleet.
const FEW_SLOTS: usize = 8;
const MANY_SLOTS: usize = 16;
const URGENCIES: usize = 3;
const OBJECTIVE: Duration = Duration::from_millis(800);
/// Interval of the fleet's steps, and the number of them in a second.
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 100;
/// Number of steps between two reports of an engine, and by which they are late.
const REPORT_STEPS: u64 = 10;
const REPORT_DELAY: usize = 5;
/// Time in a slot until the first event, and the mean time until the end; answers differ in length.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(120);
const MEAN_RUN_TIME: Duration = Duration::from_millis(1000);
/// Seconds after which the load is even, and those that count.
const WARM_UP: u64 = 5;
const COUNTED: u64 = 10;

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn zone(index: usize) -> Zone {
    ["a", "b", "c"][index].parse().unwrap()
}

fn profile(slots: usize) -> EngineProfile {
    EngineProfile { slots: slots as u32, prefill_tokens_per_second: 100_000.0, ..common::profile() }
}

/// The engine of a number; the first ones are in zone `a`.
fn engine(n: usize, slots: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{n}").parse().unwrap(),
        zone: zone(n / ENGINES),
        slots: slots as u32,
        ..common::engine(service(), n + 1)
    }
}

fn gateway(home: usize, slots: usize, seed: u64, now: Instant) -> Dispatcher {
    fastrand::seed(seed);
    let zones = (0..ZONES).map(|index| (zone(index), "r".parse().unwrap()));
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone(home), zones);
    dispatcher.set_engine_profile(&service(), Some(&profile(slots)));
    dispatcher.retry_budget.set_gateways((ZONES * GATEWAYS) as u32);
    for n in 0..ZONES * ENGINES {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(n, slots)), now);
    }
    dispatcher.update_subset(&format!("g-{seed}"), GATEWAYS);
    dispatcher
}

fn request(urgency: usize, now: Instant) -> PendingRequest {
    PendingRequest {
        latency_objective: OBJECTIVE,
        rank: Rank { urgency: Urgency::new(None, Priority(urgency as u8)), was_refused: false },
        ..common::request(service(), now)
    }
}

/// A caller's request.
#[derive(Debug, Clone, Copy)]
struct Call {
    urgency: usize,
    arrived: Instant,
}

/// A request at an engine.
struct Running {
    call: Call,
    gateway: usize,
    key: (EndpointKey, InFlightKey),
    run_time: Duration,
    /// When it got a slot, and whether its first event was sent.
    started: Option<Instant>,
    has_begun: bool,
}

/// Requests of one urgency, and those of them that began in time.
#[derive(Debug, Default, Clone, Copy)]
struct Count {
    arrived: u32,
    in_time: u32,
}

impl Count {
    fn credit(self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

/// The gateways and engines of all zones.
struct Fleet {
    now: Instant,
    step: u64,
    slots: usize,
    gateways: Vec<Dispatcher>,
    waiting: Vec<SecondaryMap<RequestKey, Call>>,
    engines: Vec<Vec<Running>>,
    /// Running and waiting requests at each engine at the last steps.
    history: VecDeque<Vec<(u32, u32)>>,
    counts: [Count; URGENCIES],
    due: f64,
}

impl Fleet {
    fn new(slots: usize, seed: u64) -> Fleet {
        let now = Instant::now();
        let gateway = |n: usize| gateway(n / GATEWAYS, slots, seed * 100 + n as u64, now);
        Fleet {
            now,
            step: 0,
            slots,
            gateways: (0..ZONES * GATEWAYS).map(gateway).collect(),
            waiting: vec![SecondaryMap::new(); ZONES * GATEWAYS],
            engines: (0..ZONES * ENGINES).map(|_| Vec::new()).collect(),
            history: VecDeque::new(),
            counts: Default::default(),
            due: 0.0,
        }
    }

    /// Runs for some seconds with `rate` requests a second, as many of each urgency. Counts those of
    /// this time only.
    fn run(&mut self, seconds: u64, rate: f64) -> [Count; URGENCIES] {
        self.counts = Default::default();
        for _ in 0..seconds * STEPS {
            self.advance();
            self.due += rate / STEPS as f64;
            while self.due >= 1.0 {
                self.due -= 1.0;
                self.arrive(fastrand::usize(..self.gateways.len()), fastrand::usize(..URGENCIES));
            }
        }
        self.counts
    }

    /// The requests of the counted seconds at a multiple of the requests that all engines can serve.
    fn overload(&mut self, factor: f64) -> [Count; URGENCIES] {
        let rate = factor * (self.engines.len() * self.slots) as f64;
        self.run(WARM_UP, rate);
        self.run(COUNTED, rate)
    }

    fn arrive(&mut self, gateway: usize, urgency: usize) {
        let call = Call { urgency, arrived: self.now };
        self.counts[urgency].arrived += 1;
        let (key, decision) = self.gateways[gateway].submit(request(urgency, self.now), self.now);
        match key {
            Some(key) => drop(self.waiting[gateway].insert(key, call)),
            None => self.apply(gateway, call, decision),
        }
    }

    /// Lets a step pass: first events, ends, reports, and decisions on waiting requests.
    fn advance(&mut self) {
        self.now += STEP;
        self.step += 1;
        (0..self.engines.len()).for_each(|n| self.advance_engine(n));
        self.report();
        for gateway in 0..self.gateways.len() {
            for (key, decision) in self.gateways[gateway].poll(self.now) {
                let call = self.waiting[gateway].remove(key).unwrap();
                self.apply(gateway, call, decision);
            }
        }
    }

    fn advance_engine(&mut self, n: usize) {
        let now = self.now;
        for running in self.engines[n].iter_mut().take(self.slots) {
            let started = *running.started.get_or_insert(now);
            if !running.has_begun && now >= started + FIRST_EVENT_TIME {
                running.has_begun = true;
                let (engine, key) = running.key;
                self.gateways[running.gateway].record_first_event(engine, key, now);
                let is_in_time = now - running.call.arrived <= OBJECTIVE;
                self.counts[running.call.urgency].in_time += u32::from(is_in_time);
            }
        }
        let has_ended =
            |running: &mut Running| running.started.is_some_and(|at| now >= at + running.run_time);
        for ended in self.engines[n].extract_if(.., has_ended) {
            let (engine, key) = ended.key;
            let gateway = &mut self.gateways[ended.gateway];
            gateway.record_result(engine, key, EndpointOutcome::Answered, now);
        }
    }

    /// Sends the reports of some steps ago to all gateways; each engine is preferred by one of its zone.
    fn report(&mut self) {
        let load = |engine: &Vec<Running>| {
            let running = engine.len().min(self.slots);
            (running as u32, (engine.len() - running) as u32)
        };
        self.history.push_back(self.engines.iter().map(load).collect());
        if self.history.len() <= REPORT_DELAY {
            return;
        }
        let loads = self.history.pop_front().unwrap();
        if !self.step.is_multiple_of(REPORT_STEPS) {
            return;
        }
        for (n, (running, waiting)) in loads.into_iter().enumerate() {
            for (index, gateway) in self.gateways.iter_mut().enumerate() {
                let keys = gateway.endpoints_on_vm(format!("10.0.0.{}", n + 1).parse().unwrap());
                let status = EngineStatus {
                    serving: true,
                    version: Some(WeightsVersion(1)),
                    waiting,
                    running,
                    cache_share: None,
                    slowdown: 1.0,
                    is_preferred: index == n / ENGINES * GATEWAYS + n % GATEWAYS,
                    agent_run: 1,
                    sequence: self.step as u32,
                };
                for key in keys.collect::<Vec<_>>() {
                    gateway.apply_report(key, status.clone(), self.now);
                }
            }
        }
    }

    fn apply(&mut self, gateway: usize, call: Call, decision: Decision) {
        if let Decision::Send { endpoint, in_flight, .. } = decision {
            let id = self.gateways[gateway].endpoint(endpoint, self.now).unwrap().id;
            let engine: usize = id.as_str()[2..].parse().unwrap();
            let key = (endpoint, in_flight);
            let run_time = MEAN_RUN_TIME.mul_f64(0.2 + 1.6 * fastrand::f64());
            let running = Running { call, gateway, key, run_time, started: None, has_begun: false };
            self.engines[engine].push(running);
        }
    }
}

fn in_time(counts: [Count; URGENCIES]) -> f64 {
    counts.iter().map(|count| f64::from(count.in_time)).sum()
}

/// Requests that begin in time at the capacity and at twice the capacity, over three seeds.
fn at_and_above_capacity(slots: usize) -> [f64; 2] {
    [1.0, 2.0].map(|factor| {
        (1..=3).map(|seed| in_time(Fleet::new(slots, seed).overload(factor))).sum::<f64>()
    })
}

/// Guards against a fleet that serves less in time the more it is asked for, as engines run requests
/// that begin too late to count.
#[test]
fn at_twice_the_capacity_small_engines_serve_as_much_in_time_as_at_the_capacity() {
    let [at, above] = at_and_above_capacity(FEW_SLOTS);
    assert!(above >= 0.9 * at, "{above} of {at}: {}", above / at);
}

/// The same, for engines at which more requests may wait than can begin in time.
#[test]
fn at_twice_the_capacity_large_engines_serve_as_much_in_time_as_at_the_capacity() {
    let [at, above] = at_and_above_capacity(MANY_SLOTS);
    assert!(above >= 0.9 * at, "{above} of {at}: {}", above / at);
}

/// Guards against an overload in which the most urgent requests are refused as often as others, and
/// against one in which the least urgent are never served.
#[test]
fn at_twice_the_capacity_more_urgent_requests_are_served_more_often_and_none_starves() {
    for (seed, slots) in (1..).zip([FEW_SLOTS, MANY_SLOTS]) {
        let credits = Fleet::new(slots, seed).overload(2.0).map(Count::credit);
        assert!(credits.is_sorted_by(|more, less| more > less), "seed {seed}: {credits:?}");
        assert!(credits.iter().all(|credit| *credit >= 0.2), "seed {seed}: {credits:?}");
    }
}
