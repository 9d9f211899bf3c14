//! `bench requests`: requests under overload, through rollouts, faults and a poison request.
//!
//! The load is open-loop: callers send at a fixed rate, whether or not responses arrive. The peak
//! goodput is measured first, then the overload, with the same fleet.

mod cost;
mod counts;
mod dispatch_cost;
mod faults;
mod load;
mod options;

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{ByteSize, Digest, Permille, Rate};
use manifest::Workspace;
use standins::EngineSettings;
use testbed::{Testbed, TestbedSettings, Weights};

use self::{
    counts::{Counters, Counts, share_error},
    faults::FaultInjector,
    load::{LoadGenerator, Target},
    options::Options,
};
use crate::report::Report;

/// Time limit for the fleet to become ready.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Loads, relative to the capacity, at which the peak goodput is measured.
const PEAK_LOADS: [f64; 3] = [0.9, 1.0, 1.15];
/// Time at the start of the overload that is not measured, while queues and shares settle.
const OVERLOAD_WARMUP: Duration = Duration::from_secs(3);
/// Seconds at the start of a step that are not measured.
const STEP_WARMUP: f64 = 1.0;
/// Time between two requests that crash their endpoint.
const POISON_INTERVAL: Duration = Duration::from_millis(250);
/// Shares of the workspaces in permille.
const SHARES: [u32; 4] = [500, 250, 150, 100];
/// Time for the entries to poll the state of the agents.
const STATE_POLL_TIME: Duration = Duration::from_millis(1500);

/// Runs the benchmark; returns whether no request was harmed, run twice or answered with another
/// request's response.
pub fn run(parser: lexopt::Parser) -> anyhow::Result<bool> {
    let options = Options::parse(parser)?;
    let mut report = Report::default();
    report.line("settings", &options.pairs());
    if options.cost {
        cost::run(&mut report);
        return Ok(true);
    }
    let mut bed = start(&options)?;
    let counters = Counters::read();
    let load_target = LoadTarget::of(&bed, &options);
    let capacity = options.capacity();
    let mut peak = Counts::default();
    for (load, run) in PEAK_LOADS.into_iter().zip(1..) {
        let counts = load_target.run_load(
            capacity * load,
            options.step,
            STEP_WARMUP,
            options.seed * 10 + run,
        );
        let measured_time = options.step - Duration::from_secs_f64(STEP_WARMUP);
        report.line("step", &counts.pairs(load, measured_time));
        if counts.goodput(measured_time) > peak.goodput(measured_time) {
            peak = counts;
        }
    }
    let before = Counters::read();
    let poison = options.poison.then(|| PoisonSender::start(&load_target));
    let faults = options.faults.then(|| FaultInjector::new(&bed, options.seed));
    let start = Instant::now();
    let load = {
        let load_target = load_target.clone();
        let (rate, time, seed) = (capacity * options.overload, options.time, options.seed * 10);
        std::thread::spawn(move || {
            load_target.run_load(rate, time, OVERLOAD_WARMUP.as_secs_f64(), seed)
        })
    };
    let serving = run_rollout_and_faults(&mut bed, &options, faults, start)?;
    let mut counts = load.join().expect("the load does not panic");
    if let Some(poison) = poison {
        counts.add_poison(poison.stop());
    }
    let measured_time = options.time.saturating_sub(OVERLOAD_WARMUP);
    report.line("overload", &counts.pairs(options.overload, measured_time));
    report.line("fleet", &[("serving_mean", serving.into()), ("agents", options.agents.into())]);
    for (index, row) in counts.workspaces.iter().enumerate() {
        report.line("workspace", &row.pairs(index, SHARES[index]));
    }
    counts.count_runs(&bed);
    let ratio = counts.goodput(measured_time)
        / peak.goodput(options.step - Duration::from_secs_f64(STEP_WARMUP)).max(0.001);
    let share = share_error(&counts.workspaces, &SHARES);
    let attempts = Counters::read().ratio_since(&before);
    report.line("attempts", &Counters::read().pairs_since(&counters));
    report.line("requests", &counts.summary(share, ratio, attempts));
    if let Some(file) = &options.json {
        report.write_json(file)?;
    }
    bed.stop();
    Ok(counts.harmed == 0 && counts.doubled == 0 && counts.crossed == 0)
}

fn start(options: &Options) -> anyhow::Result<Testbed> {
    let engine = EngineSettings {
        token_time: options.token_time,
        slots: options.slots,
        ..EngineSettings::default()
    };
    let mut bed = Testbed::start(TestbedSettings {
        entries: options.entries,
        agents: options.agents,
        plain_services: 1,
        zones: options.zones,
        engine,
        policy: options.policy,
        seed: options.seed,
        ..TestbedSettings::default()
    })?;
    bed.manifest.workspaces = SHARES.iter().enumerate().map(workspace).collect();
    for (n, version) in ["v1", "v2"].into_iter().enumerate() {
        let seed = options.seed + n as u64;
        bed.add_version(&Weights::generate(version, ByteSize(4 << 20), ByteSize(256 << 10), seed));
    }
    bed.roll_out("v1", options.agents, options.agents * 3 / 4);
    let all = options.agents;
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == all)?;
    std::thread::sleep(STATE_POLL_TIME);
    Ok(bed)
}

fn workspace((index, share): (usize, &u32)) -> Workspace {
    Workspace {
        id: load::workspace_name(index).parse().expect("a valid id"),
        share: Permille(*share),
        requests: Rate(1e6),
        queue: 64,
        keys: vec![Digest::of(load::api_key(index).as_bytes())],
    }
}

/// Rolls a version out and injects faults while the load runs; returns the mean number of serving
/// engines.
fn run_rollout_and_faults(
    bed: &mut Testbed,
    options: &Options,
    mut faults: Option<FaultInjector>,
    start: Instant,
) -> anyhow::Result<f64> {
    let mut rollout = options.rollout;
    let (mut samples, mut serving) = (0, 0);
    while start.elapsed() < options.time {
        std::thread::sleep(Duration::from_millis(20));
        samples += 1;
        serving += bed.serving_count("base@v1") + bed.serving_count("base@v2");
        if rollout && start.elapsed() > options.time / 3 {
            rollout = false;
            bed.roll_out("v2", options.agents, options.agents * 3 / 4);
        }
        if let Some(faults) = &mut faults {
            faults.inject_due(bed, start.elapsed());
        }
    }
    Ok(serving as f64 / f64::from(samples.max(1)))
}

/// Target of the load, shared with its threads.
#[derive(Clone)]
struct LoadTarget {
    target: Arc<Target>,
}

impl LoadTarget {
    fn of(bed: &Testbed, options: &Options) -> LoadTarget {
        let entries = (0..options.entries).map(|i| bed.caller_addr(i)).collect();
        let target = Target {
            entries,
            tokens: options.tokens,
            deadline: options.deadline,
            skew: options.skew,
            orders: options.orders,
            workspaces: SHARES.len(),
        };
        LoadTarget { target: Arc::new(target) }
    }

    fn run_load(&self, rate: f64, time: Duration, warmup: f64, seed: u64) -> Counts {
        LoadGenerator { target: self.target.clone(), rate, time, warmup, seed }.run()
    }
}

/// A caller that repeatedly sends a request that crashes its endpoint.
struct PoisonSender {
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<u64>,
}

impl PoisonSender {
    fn start(load_target: &LoadTarget) -> PoisonSender {
        let stop = Arc::new(AtomicBool::new(false));
        let (should_stop, target) = (stop.clone(), load_target.target.clone());
        let thread = std::thread::spawn(move || {
            let mut sent = 0;
            while !should_stop.load(Ordering::Relaxed) {
                let entry = target.entries[sent as usize % target.entries.len()];
                target.caller(0).chat(entry, "CRASH", target.tokens);
                sent += 1;
                std::thread::sleep(POISON_INTERVAL);
            }
            sent
        });
        PoisonSender { stop, thread }
    }

    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the caller does not panic")
    }
}
