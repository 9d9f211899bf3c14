//! When requests leave their availability zone: independent gateways of two zones that see the same
//! delayed reports.

#[allow(dead_code, reason = "not every test file uses it")]
mod common;

use std::time::{Duration, Instant};

use base::{ServiceId, Zone};
use catalog::{Endpoint, EndpointState, EndpointUpdate, EngineProfile, WeightsVersion, ZoneDelay};
use dispatch::{
    Decision, DispatchSettings, Dispatcher, EndpointKey, EndpointOutcome, EngineStatus,
    InFlightKey, PendingRequest,
};

const ZONES: [&str; 2] = ["a", "b"];
/// Gateways of each zone.
const GATEWAYS: usize = 3;
/// Engines of each zone. With twelve slots and 1.25 s for a request, they serve about 75 requests
/// a second.
const ENGINES: usize = 8;
const SLOTS: u32 = 12;
/// Delay between the zones from which the ways between them are measured, and one below it.
const FAR: Duration = Duration::from_millis(3);
const NEAR: Duration = Duration::from_millis(1);
/// Requests a second in the two zones.
const EVEN: [f64; 2] = [40.0, 40.0];
const THREE_TIMES: [f64; 2] = [120.0, 20.0];
const OVERLOAD: [f64; 2] = [110.0, 110.0];
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Interval of the fleet's steps, and the number of them in a second.
const STEP: Duration = Duration::from_millis(10);
const STEPS: u64 = 100;
/// Number of steps between two reports of an engine, and by which they are late.
const REPORT_STEPS: u64 = 10;
const REPORT_DELAY: usize = 20;
/// Time from the first event of a response to its last.
const RUN_TIME: Duration = Duration::from_millis(1100);

fn service() -> ServiceId {
    "llm".parse().unwrap()
}

fn zone(index: usize) -> Zone {
    ZONES[index].parse().unwrap()
}

fn profile() -> EngineProfile {
    EngineProfile {
        slots: SLOTS,
        step_time_per_request: Duration::from_micros(500),
        prefill_tokens_per_second: 100_000.0,
        ..common::profile()
    }
}

/// The engine of a number; the first half is in zone `a`.
fn engine(n: usize) -> Endpoint {
    Endpoint {
        id: format!("i-{n}").parse().unwrap(),
        zone: zone(n / ENGINES),
        slots: SLOTS,
        ..common::engine(service(), n + 1)
    }
}

fn gateway(home: usize, seed: u64, delay: Duration, now: Instant) -> Dispatcher {
    fastrand::seed(seed);
    let zones = [(zone(0), "r".parse().unwrap()), (zone(1), "s".parse().unwrap())];
    let mut dispatcher = Dispatcher::new(DispatchSettings::default(), zone(home), zones);
    dispatcher.set_engine_profile(&service(), Some(&profile()));
    dispatcher.set_zone_delays(&service(), &[ZoneDelay { zones: [zone(0), zone(1)], delay }]);
    for n in 0..2 * ENGINES {
        dispatcher.apply_listing(EndpointUpdate::Published(engine(n)), now);
    }
    dispatcher
}

fn request(now: Instant) -> PendingRequest {
    PendingRequest { latency_objective: OBJECTIVE, ..common::request(service(), now) }
}

/// A request at an engine.
struct Running {
    gateway: usize,
    engine: usize,
    key: (EndpointKey, InFlightKey),
    arrived: Instant,
    /// When the first event arrives; `None` once it has.
    first_event: Option<Instant>,
    end: Instant,
}

/// What happened to the requests of the callers in zone `a` in one second.
#[derive(Debug, Default, Clone, Copy)]
struct Second {
    home: u32,
    left: u32,
    late: u32,
    refused: u32,
}

impl Second {
    fn share(self) -> f64 {
        f64::from(self.left) / f64::from((self.home + self.left).max(1))
    }
}

/// The gateways and engines of both zones.
struct Fleet {
    now: Instant,
    step: u64,
    gateways: Vec<Dispatcher>,
    running: Vec<Running>,
    /// Requests at each engine at the last steps.
    history: Vec<Vec<u32>>,
    /// Time that the way adds to a request now.
    way: Duration,
    arrivals: [f64; 2],
}

impl Fleet {
    fn new(seed: u64, delay: Duration) -> Fleet {
        let now = Instant::now();
        let gateway = |n: usize| gateway(n / GATEWAYS, seed + n as u64, delay, now);
        let gateways = (0..2 * GATEWAYS).map(gateway).collect();
        let running = Vec::new();
        let way = 2 * delay;
        Fleet { now, step: 0, gateways, running, history: Vec::new(), way, arrivals: [0.0; 2] }
    }

    /// Runs for some seconds with `rates` requests a second in the zones.
    fn run(&mut self, seconds: u64, rates: [f64; 2]) -> Vec<Second> {
        let mut all = vec![Second::default(); seconds as usize];
        for step in 0..seconds * STEPS {
            let second = &mut all[(step / STEPS) as usize];
            self.advance(second);
            for (home, rate) in rates.iter().enumerate() {
                self.arrivals[home] += rate / STEPS as f64;
                while self.arrivals[home] >= 1.0 {
                    self.arrivals[home] -= 1.0;
                    let gateway = home * GATEWAYS + fastrand::usize(..GATEWAYS);
                    let decision = self.gateways[gateway].submit(request(self.now), self.now).1;
                    self.apply(gateway, self.now, decision, second);
                }
            }
        }
        all
    }

    /// Lets a step pass: first events, ends, reports, and decisions on waiting requests.
    fn advance(&mut self, second: &mut Second) {
        self.now += STEP;
        self.step += 1;
        let now = self.now;
        for running in &mut self.running {
            if running.first_event.take_if(|at| now >= *at).is_some() {
                let (engine, key) = running.key;
                self.gateways[running.gateway].record_first_event(engine, key, now);
                let is_late = now - running.arrived > OBJECTIVE && running.gateway < GATEWAYS;
                second.late += u32::from(is_late);
            }
        }
        for ended in self.running.extract_if(.., |running| now >= running.end) {
            let (engine, key) = ended.key;
            let gateway = &mut self.gateways[ended.gateway];
            gateway.record_result(engine, key, EndpointOutcome::Answered, now);
        }
        self.history.push(self.loads());
        if self.step.is_multiple_of(REPORT_STEPS) && self.history.len() > REPORT_DELAY {
            self.report(self.history.len() - 1 - REPORT_DELAY);
        }
        for gateway in 0..self.gateways.len() {
            for (_, decision) in self.gateways[gateway].poll(now) {
                self.apply(gateway, now, decision, second);
            }
        }
    }

    /// The requests at each engine.
    fn loads(&self) -> Vec<u32> {
        let mut loads = vec![0; 2 * ENGINES];
        self.running.iter().for_each(|running| loads[running.engine] += 1);
        loads
    }

    fn report(&mut self, at: usize) {
        for (n, total) in self.history[at].iter().enumerate() {
            for (index, gateway) in self.gateways.iter_mut().enumerate() {
                let keys = gateway.endpoints_on_vm(format!("10.0.0.{}", n + 1).parse().unwrap());
                let status = EngineStatus {
                    serving: true,
                    version: Some(WeightsVersion(1)),
                    waiting: total.saturating_sub(SLOTS),
                    running: (*total).min(SLOTS),
                    cache_share: None,
                    slowdown: 1.0,
                    is_preferred: index / GATEWAYS == n / ENGINES,
                    agent_run: 1,
                    sequence: self.step as u32,
                };
                for key in keys.collect::<Vec<_>>() {
                    gateway.apply_report(key, status.clone(), self.now);
                }
            }
        }
    }

    fn apply(&mut self, gateway: usize, now: Instant, decision: Decision, second: &mut Second) {
        let home = gateway / GATEWAYS;
        match decision {
            Decision::Wait => {}
            Decision::Refuse { .. } => second.refused += u32::from(home == 0),
            Decision::Send { endpoint, in_flight, .. } => {
                let id = self.gateways[gateway].endpoint(endpoint, now).unwrap().id;
                let engine: usize = id.as_str()[2..].parse().unwrap();
                let is_remote = engine / ENGINES != home;
                let load = self.loads()[engine];
                let queued = (load + 1).saturating_sub(SLOTS);
                let way = if is_remote { self.way } else { Duration::ZERO };
                let pass = Duration::from_millis(85) + load.min(SLOTS) * Duration::from_millis(4);
                let first = now + pass + queued * RUN_TIME / SLOTS + way;
                let key = (endpoint, in_flight);
                let end = first + RUN_TIME;
                let first_event = Some(first);
                self.running.push(Running { gateway, engine, key, arrived: now, first_event, end });
                if home == 0 {
                    *if is_remote { &mut second.left } else { &mut second.home } += 1;
                }
            }
        }
    }
}

/// What happened over several seconds.
struct Totals {
    /// Mean and standard deviation of the share that left, second by second.
    share: f64,
    deviation: f64,
    /// Fraction of the sent requests that began late.
    late: f64,
    refused: u32,
}

fn totals(seconds: &[Second]) -> Totals {
    let count = seconds.len() as f64;
    let share = seconds.iter().map(|second| second.share()).sum::<f64>() / count;
    let square = |second: &Second| (second.share() - share).powi(2);
    let sent: u32 = seconds.iter().map(|second| second.home + second.left).sum();
    let late: u32 = seconds.iter().map(|second| second.late).sum();
    Totals {
        share,
        deviation: (seconds.iter().map(square).sum::<f64>() / count).sqrt(),
        late: f64::from(late) / f64::from(sent.max(1)),
        refused: seconds.iter().map(|second| second.refused).sum(),
    }
}

/// Runs the same load with measured ways and with fixed costs.
fn both(seed: u64, load: impl Fn(&mut Fleet) -> Vec<Second>) -> [Totals; 2] {
    [FAR, NEAR].map(|delay| totals(&load(&mut Fleet::new(seed, delay))))
}

/// Guards against requests that pile up in a zone with three times its demand, while the other zone
/// could serve them in time.
#[test]
fn under_three_times_its_demand_a_zone_sends_away_what_it_cannot_serve() {
    for seed in 1..=3 {
        let [measured, fixed] = both(seed, |fleet| {
            assert!(totals(&fleet.run(4, EVEN)).share < 0.02, "nothing leaves without need");
            fleet.run(3, THREE_TIMES);
            fleet.run(16, THREE_TIMES)
        });
        assert!((0.25..0.5).contains(&measured.share), "seed {seed}: {}", measured.share);
        assert!(measured.late <= fixed.late, "seed {seed}: {} {}", measured.late, fixed.late);
        assert!(measured.refused < 16, "seed {seed}: {}", measured.refused);
    }
}

/// Guards against callers that pay for a link that other traffic fills: requests go on leaving though
/// they begin too late on the other side.
#[test]
fn over_a_link_that_narrows_fewer_requests_leave_until_it_is_wide_again() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed, FAR);
        fleet.run(6, THREE_TIMES);
        let before = totals(&fleet.run(6, THREE_TIMES)).share;
        fleet.way = Duration::from_millis(500);
        fleet.run(2, THREE_TIMES);
        let narrow = totals(&fleet.run(6, THREE_TIMES)).share;
        fleet.way = 2 * FAR;
        fleet.run(5, THREE_TIMES);
        let after = totals(&fleet.run(6, THREE_TIMES)).share;
        assert!(narrow < before / 2.0, "seed {seed}: {before} {narrow}");
        assert!(after > before / 2.0, "seed {seed}: {before} {after}");
    }
}

/// Guards against gateways that swing together: both zones have more demand than they serve, and all
/// see the same old report of a free engine on the other side.
#[test]
fn while_both_zones_are_overloaded_the_share_that_leaves_is_small_and_steady() {
    for seed in 1..=2 {
        let [measured, fixed] = both(seed, |fleet| {
            fleet.run(6, OVERLOAD);
            fleet.run(20, OVERLOAD)
        });
        assert!(measured.share < 0.25, "seed {seed}: {}", measured.share);
        assert!(measured.deviation < 0.15, "seed {seed}: {}", measured.deviation);
        assert!(measured.deviation < fixed.deviation, "seed {seed}");
        assert!(measured.late < fixed.late, "seed {seed}: {} {}", measured.late, fixed.late);
    }
}

/// Guards against requests that go on leaving a zone that has room for them again.
#[test]
fn requests_are_back_within_seconds_once_their_zone_has_room() {
    for seed in 1..=3 {
        let mut fleet = Fleet::new(seed, FAR);
        fleet.run(8, THREE_TIMES);
        fleet.run(3, EVEN);
        let share = totals(&fleet.run(5, EVEN)).share;
        assert!(share < 0.1, "seed {seed}: {share}");
    }
}

/// Guards against a limit on leaving that refuses the requests of a zone whose endpoints all left.
#[test]
fn all_requests_of_a_zone_without_endpoints_leave_at_once() {
    let mut fleet = Fleet::new(1, FAR);
    fleet.run(2, [40.0, 20.0]);
    for n in 0..ENGINES {
        let leaving = Endpoint { state: EndpointState::Draining, ..engine(n) };
        for gateway in &mut fleet.gateways {
            gateway.apply_listing(EndpointUpdate::Published(leaving.clone()), fleet.now);
        }
    }
    for second in fleet.run(4, [40.0, 20.0]) {
        assert_eq!((second.home, second.refused), (0, 0), "{second:?}");
        assert!(second.left >= 39, "{second:?}");
    }
}
