//! `bench requests`: requests under overload, through rollouts, faults and a poison request.
//!
//! Callers send at a rate of their own, whether or not answers come back. The peak is measured
//! first, with the same fleet; the overload follows.

mod cost;
mod counts;
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
    faults::Faults,
    load::{Load, Target},
    options::Options,
};
use crate::report::Report;

/// Longest wait for the fleet to serve.
const TIMEOUT: Duration = Duration::from_secs(30);
/// Loads over capacity at which the peak is looked for.
const PEAK_LOADS: [f64; 3] = [0.9, 1.0, 1.15];
/// Part of the overload that is not judged: queues and shares settle.
const SETTLE: Duration = Duration::from_secs(3);
/// Seconds at the beginning of a step that are not judged.
const STEP_SETTLE: f64 = 1.0;
/// Time between two poison requests.
const POISON_EVERY: Duration = Duration::from_millis(250);
/// Shares of the workspaces, in thousandths.
const SHARES: [u32; 4] = [500, 250, 150, 100];
/// Time of an entry's look at what the agents state.
const STATE_WAIT: Duration = Duration::from_millis(1500);

/// Runs the load; returns whether no request was harmed.
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
    let targets = Targets::of(&bed, &options);
    let capacity = options.capacity();
    let mut peak = Counts::default();
    for (load, run) in PEAK_LOADS.into_iter().zip(1..) {
        let counts =
            targets.offer(capacity * load, options.step, STEP_SETTLE, options.seed * 10 + run);
        let judged = options.step - Duration::from_secs_f64(STEP_SETTLE);
        report.line("step", &counts.pairs(load, judged));
        if counts.goodput(judged) > peak.goodput(judged) {
            peak = counts;
        }
    }
    let before = Counters::read();
    let poison = options.poison.then(|| Poison::start(&targets));
    let faults = options.faults.then(|| Faults::new(&bed, options.seed));
    let start = Instant::now();
    let load = {
        let targets = targets.clone();
        let (rate, time, seed) = (capacity * options.overload, options.time, options.seed * 10);
        std::thread::spawn(move || targets.offer(rate, time, SETTLE.as_secs_f64(), seed))
    };
    let serving = disturb(&mut bed, &options, faults, start)?;
    let mut counts = load.join().expect("the load does not panic");
    if let Some(poison) = poison {
        counts.add_poison(poison.stop());
    }
    let judged = options.time.saturating_sub(SETTLE);
    report.line("overload", &counts.pairs(options.overload, judged));
    report.line("fleet", &[("serving_mean", serving.into()), ("agents", options.agents.into())]);
    for (index, row) in counts.workspaces.iter().enumerate() {
        report.line("workspace", &row.pairs(index, SHARES[index]));
    }
    counts.count_runs(&bed);
    let ratio = counts.goodput(judged)
        / peak.goodput(options.step - Duration::from_secs_f64(STEP_SETTLE)).max(0.001);
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
    std::thread::sleep(STATE_WAIT);
    Ok(bed)
}

fn workspace((index, share): (usize, &u32)) -> Workspace {
    Workspace {
        id: load::workspace_name(index).parse().expect("a well-formed id"),
        share: Permille(*share),
        requests: Rate(1e6),
        queue: 64,
        keys: vec![Digest::of(load::key(index).as_bytes())],
    }
}

/// Rolls a version out and breaks endpoints while the load runs; returns the mean number of engines
/// that served.
fn disturb(
    bed: &mut Testbed,
    options: &Options,
    mut faults: Option<Faults>,
    start: Instant,
) -> anyhow::Result<f64> {
    let mut rollout = options.rollout;
    let (mut looks, mut serving) = (0, 0);
    while start.elapsed() < options.time {
        std::thread::sleep(Duration::from_millis(20));
        looks += 1;
        serving += bed.serving_count("base@v1") + bed.serving_count("base@v2");
        if rollout && start.elapsed() > options.time / 3 {
            rollout = false;
            bed.roll_out("v2", options.agents, options.agents * 3 / 4);
        }
        if let Some(faults) = &mut faults {
            faults.step(bed, start.elapsed());
        }
    }
    Ok(serving as f64 / f64::from(looks.max(1)))
}

/// The entries and what is sent to them.
#[derive(Clone)]
struct Targets {
    target: Arc<Target>,
}

impl Targets {
    fn of(bed: &Testbed, options: &Options) -> Targets {
        let entries = (0..options.entries).map(|i| bed.caller_addr(i)).collect();
        let target = Target {
            entries,
            tokens: options.tokens,
            deadline: options.deadline,
            skew: options.skew,
            orders: options.orders,
            workspaces: SHARES.len(),
        };
        Targets { target: Arc::new(target) }
    }

    fn offer(&self, rate: f64, time: Duration, settle: f64, seed: u64) -> Counts {
        Load { target: self.target.clone(), rate, time, settle, seed }.run()
    }
}

/// A caller that sends one poison request again and again.
struct Poison {
    stop: Arc<AtomicBool>,
    thread: std::thread::JoinHandle<u64>,
}

impl Poison {
    fn start(targets: &Targets) -> Poison {
        let stop = Arc::new(AtomicBool::new(false));
        let (seen, target) = (stop.clone(), targets.target.clone());
        let thread = std::thread::spawn(move || {
            let mut sent = 0;
            while !seen.load(Ordering::Relaxed) {
                let entry = target.entries[sent as usize % target.entries.len()];
                target.caller(0).chat(entry, "CRASH", target.tokens);
                sent += 1;
                std::thread::sleep(POISON_EVERY);
            }
            sent
        });
        Poison { stop, thread }
    }

    fn stop(self) -> u64 {
        self.stop.store(true, Ordering::Relaxed);
        self.thread.join().expect("the caller does not panic")
    }
}
