//! Simulates the routing policies under 90% load with delayed reports, on a simulated clock.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use base::{Incarnation, ServiceId, VmId, Zone};
use fastrand::Rng;
use proto::{EndpointState, Load, Serving};
use routing::{
    AllowedReleases, EndpointOutcome, EndpointRequirements, Router, RouterSettings, SlotQuota,
    ZonedVm,
};
use settings::RoutingPolicy;

const ENTRIES: usize = 4;
const ENDPOINTS: usize = 16;
const SLOTS: usize = 8;
/// Attempts that an endpoint accepts beyond its slots.
const QUEUE_LIMIT: usize = 4;
const SERVICE_SECONDS: f64 = 0.2;
const REPORT_SECONDS: f64 = 1.0;
const REQUESTS: usize = 15_000;
/// Number of endpoints that take three times as long.
const SLOW_ENDPOINTS: usize = 4;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrival,
    Done { endpoint: usize },
    Report { endpoint: usize },
}

#[derive(Default)]
struct Endpoint {
    running: Vec<(Reverse<u64>, usize, u64)>,
    waiting: VecDeque<(usize, u64)>,
}

#[derive(Debug)]
struct Outcome {
    p50: f64,
    p99: f64,
    refused: f64,
}

struct Simulation {
    routers: Vec<Router>,
    endpoints: Vec<Endpoint>,
    /// Arrival times in microseconds of the requests that wait at each entry.
    queues: Vec<VecDeque<u64>>,
    events: BinaryHeap<Reverse<(u64, usize, Event)>>,
    order: usize,
    rng: Rng,
    start: Instant,
    latencies: Vec<f64>,
    refused: usize,
}

fn service() -> ServiceId {
    "chat".parse().unwrap()
}

fn vm(endpoint: usize) -> VmId {
    format!("model-{endpoint:02}").parse().unwrap()
}

fn zone() -> Zone {
    "zone".parse().unwrap()
}

impl Simulation {
    fn new(policy: RoutingPolicy, seed: u64) -> Simulation {
        let start = Instant::now();
        let router = |entry: u64| {
            let settings = RouterSettings { policy, ..RouterSettings::default() };
            let mut router = Router::new(zone(), settings, Rng::with_seed(seed * 100 + entry));
            let release = "m@v1".parse().unwrap();
            let current = HashSet::from([release]);
            router.set_allowed_releases(
                &service(),
                AllowedReleases { current, older: HashSet::new() },
                start,
            );
            let endpoints = (0..ENDPOINTS).map(|e| ZonedVm { vm: vm(e), zone: zone() }).collect();
            router.set_endpoints(endpoints, start);
            let fraction = 1.0 / ENTRIES as f64;
            router.set_slot_quota(&service(), SlotQuota { fraction, may_borrow: true });
            router
        };
        Simulation {
            routers: (0..ENTRIES as u64).map(router).collect(),
            endpoints: (0..ENDPOINTS).map(|_| Endpoint::default()).collect(),
            queues: vec![VecDeque::new(); ENTRIES],
            events: BinaryHeap::new(),
            order: 0,
            rng: Rng::with_seed(seed),
            start,
            latencies: Vec::new(),
            refused: 0,
        }
    }

    fn schedule(&mut self, micros: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((micros, self.order, event)));
    }

    fn exponential(&mut self, mean: f64) -> u64 {
        (-(1.0 - self.rng.f64()).ln() * mean * 1e6) as u64
    }

    fn run(mut self) -> Outcome {
        for endpoint in 0..ENDPOINTS {
            let offset = (REPORT_SECONDS * 1e6) as u64 * endpoint as u64 / ENDPOINTS as u64;
            self.report(endpoint, 0);
            self.schedule(offset, Event::Report { endpoint });
        }
        // The load starts after the warm-up, so that all endpoints are warm.
        self.schedule(5_000_000, Event::Arrival);
        let capacity = (ENDPOINTS - SLOW_ENDPOINTS) as f64 + SLOW_ENDPOINTS as f64 / 3.0;
        let mean_gap = SERVICE_SECONDS / (0.9 * capacity * SLOTS as f64);
        let mut arrived = 0;
        while let Some(Reverse((micros, _, event))) = self.events.pop() {
            match event {
                Event::Arrival => {
                    arrived += 1;
                    self.arrive(micros);
                    if arrived < REQUESTS {
                        let next = micros + self.exponential(mean_gap);
                        self.schedule(next, Event::Arrival);
                    }
                }
                Event::Done { endpoint } => self.done(endpoint, micros),
                Event::Report { endpoint } if arrived < REQUESTS => {
                    self.report(endpoint, micros);
                    self.schedule(
                        micros + (REPORT_SECONDS * 1e6) as u64,
                        Event::Report { endpoint },
                    );
                }
                Event::Report { .. } => {}
            }
        }
        self.outcome()
    }

    fn instant(&self, micros: u64) -> Instant {
        self.start + Duration::from_micros(micros)
    }

    fn arrive(&mut self, micros: u64) {
        let entry = self.rng.usize(..ENTRIES);
        self.queues[entry].push_back(micros);
        self.serve(entry, micros);
    }

    /// Sends the waiting requests of an entry, until no endpoint may get one.
    fn serve(&mut self, entry: usize, micros: u64) {
        while let Some(arrived) = self.queues[entry].front().copied() {
            if !self.send(entry, arrived, micros) {
                return;
            }
            self.queues[entry].pop_front();
        }
    }

    /// Returns false if the request has to keep waiting.
    fn send(&mut self, entry: usize, arrived: u64, micros: u64) -> bool {
        let now = self.instant(micros);
        let service = service();
        let mut tried = Vec::new();
        for _ in 0..2 {
            let requirements = EndpointRequirements {
                service: &service,
                release: None,
                avoid: &[],
                tried: &tried,
            };
            let Some(choice) = self.routers[entry].pick(&requirements, now) else { return false };
            let endpoint = (0..ENDPOINTS).find(|e| vm(*e) == choice.vm).unwrap();
            self.routers[entry].record_start(&choice.vm);
            let target = &mut self.endpoints[endpoint];
            if target.running.len() + target.waiting.len() < SLOTS + QUEUE_LIMIT {
                target.waiting.push_back((entry, arrived));
                self.start_next(endpoint, micros);
                return true;
            }
            self.routers[entry].record_result(&choice.vm, EndpointOutcome::Full, now);
            tried.push(choice.vm);
        }
        self.refused += 1;
        true
    }

    fn start_next(&mut self, endpoint: usize, micros: u64) {
        while self.endpoints[endpoint].running.len() < SLOTS {
            let Some((entry, arrived)) = self.endpoints[endpoint].waiting.pop_front() else {
                return;
            };
            let slowdown = if endpoint < SLOW_ENDPOINTS { 3.0 } else { 1.0 };
            let end = micros + (SERVICE_SECONDS * slowdown * (0.5 + self.rng.f64()) * 1e6) as u64;
            self.latencies.push((end - arrived) as f64 / 1e3);
            self.endpoints[endpoint].running.push((Reverse(end), entry, arrived));
            self.endpoints[endpoint].running.sort();
            self.schedule(end, Event::Done { endpoint });
        }
    }

    fn done(&mut self, endpoint: usize, micros: u64) {
        let (_, entry, arrived) = self.endpoints[endpoint].running.pop().unwrap();
        let now = self.instant(micros);
        self.routers[entry].record_result(&vm(endpoint), EndpointOutcome::Succeeded, now);
        let took = Duration::from_micros(micros - arrived);
        self.routers[entry].record_response_time(&vm(endpoint), took);
        self.start_next(endpoint, micros);
        self.serve(entry, micros);
    }

    fn report(&mut self, endpoint: usize, micros: u64) {
        let target = &self.endpoints[endpoint];
        let busy = (target.running.len() + target.waiting.len()) as u32;
        let release = "m@v1".parse().ok();
        let state = EndpointState {
            vm: vm(endpoint),
            incarnation: Incarnation(1),
            serving: Some(Serving { service: service(), rollout: None, release }),
            accepting: true,
            load: Load { busy, slots: SLOTS as u32 },
            clock: 0,
        };
        let now = self.instant(micros);
        self.routers.iter_mut().for_each(|router| router.observe(state.clone(), now));
        (0..ENTRIES).for_each(|entry| self.serve(entry, micros));
    }

    fn outcome(mut self) -> Outcome {
        self.latencies.sort_by(f64::total_cmp);
        let at = |q: f64| self.latencies[(self.latencies.len() as f64 * q) as usize];
        Outcome { p50: at(0.5), p99: at(0.99), refused: self.refused as f64 / REQUESTS as f64 }
    }
}

#[test]
fn two_choices_beat_random_and_round_robin() {
    for seed in 1..=3 {
        let [p2c, random, round_robin] =
            [RoutingPolicy::P2c, RoutingPolicy::Random, RoutingPolicy::RoundRobin].map(|policy| {
                let outcome = Simulation::new(policy, seed).run();
                println!("seed={seed} policy={} {outcome:?}", policy.as_str());
                outcome
            });
        for other in [random, round_robin] {
            assert!(p2c.refused < other.refused * 0.5, "{p2c:?} {other:?}");
            assert!(p2c.p50 < other.p50 * 1.05, "{p2c:?} {other:?}");
            assert!(p2c.p99 < other.p99 * 0.9, "{p2c:?} {other:?}");
        }
    }
}
