//! `bench rollout`: time until all VMs serve a new version, and bytes read from the origin.
//!
//! Links are narrow, so that the links and not the processors decide: a machine's link passes
//! `LINK` in and out together, and the origin's link twice as much. Each VM takes in one copy and
//! passes on about one, so that no rollout takes less than twice the copy over the link; that is the
//! bound that `bound_ratio` refers to.

use std::{
    path::PathBuf,
    str::FromStr,
    time::{Duration, Instant},
};

use anyhow::Context;
use audit::Change;
use base::{ByteRate, ByteSize};
use lexopt::{Arg, ValueExt};
use node::wall_clock_ms;
use settings::Strategy;
use testbed::{AgentVm, Testbed, TestbedSettings, Weights};

use crate::{faults::Faults, report::Report};

const COPY: ByteSize = ByteSize(16 << 20);
const CHUNK: ByteSize = ByteSize(128 << 10);
const LINK: ByteRate = ByteRate(4 << 20);
const ORIGIN: ByteRate = ByteRate(8 << 20);
/// Part of a copy that the baseline spreads.
const BASELINE_PART: u64 = 16;
/// Time for all processes to learn the VM list before the rollout begins.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest run, in multiples of the bound.
const MAX_RATIO: u32 = 6;

/// What is measured.
#[derive(Debug, Clone)]
struct Options {
    sizes: Vec<usize>,
    strategy: Strategy,
    copies: u32,
    percent: u32,
    zones: usize,
    memory: ByteSize,
    faults: bool,
    baseline: bool,
    seed: u64,
    json: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            sizes: vec![64],
            strategy: TestbedSettings::default().strategy,
            copies: 1,
            percent: 150,
            zones: 4,
            memory: ByteSize(256 << 20),
            faults: false,
            baseline: true,
            seed: 1,
            json: None,
        }
    }
}

/// What a run showed.
struct Outcome {
    ready: usize,
    seconds: f64,
    bound_ratio: f64,
    origin_copies: f64,
    /// Seconds until the last VM of those that ran from the start had the manifest in force, by its
    /// audit trail.
    learned: f64,
    /// Seconds until the origin sent the first chunk.
    first: f64,
    /// Seconds until the origin sent a whole copy.
    copied: f64,
    /// Seconds until half of the VMs were ready.
    half: f64,
    /// Processors in use on average, for all processes and stand-ins.
    cores: f64,
    /// Engines that went to a release without all of its chunks, or serve another one.
    mixed: usize,
}

/// Runs the rollouts; returns whether all VMs got ready and none served mixed weights.
pub fn run(parser: lexopt::Parser) -> anyhow::Result<bool> {
    let options = parse(parser)?;
    let mut report = Report::default();
    let mut good = true;
    for &vms in &options.sizes {
        let baseline = if options.baseline { Some(baseline(&options, vms)?) } else { None };
        let outcome = measure(&options, vms, COPY)?;
        let ratio = baseline.map_or("none".into(), |b| b.bound_ratio.into());
        let pairs = [
            ("strategy", options.strategy.to_string().into()),
            ("faults", options.faults.into()),
            ("copies", options.copies.into()),
            ("percent", options.percent.into()),
            ("zones", options.zones.into()),
            ("seed", options.seed.into()),
            ("bound", bound(COPY).into()),
            ("learned", outcome.learned.into()),
            ("first", outcome.first.into()),
            ("copied", outcome.copied.into()),
            ("half", outcome.half.into()),
            ("cores", outcome.cores.into()),
            ("vms", vms.into()),
            ("ready", outcome.ready.into()),
            ("seconds", outcome.seconds.into()),
            ("bound_ratio", outcome.bound_ratio.into()),
            ("origin_copies", outcome.origin_copies.into()),
            ("baseline_ratio", ratio),
            ("mixed", outcome.mixed.into()),
        ];
        report.line("rollout", &pairs);
        good &= outcome.ready == vms && outcome.mixed == 0;
    }
    if let Some(file) = &options.json {
        report.write_json(file)?;
    }
    Ok(good)
}

fn parse(mut parser: lexopt::Parser) -> anyhow::Result<Options> {
    let mut options = Options::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("vms") => options.sizes = vec![parser.value()?.parse()?],
            Arg::Long("sizes") => options.sizes = sizes(&parser.value()?.string()?)?,
            Arg::Long("strategy") => options.strategy = parser.value()?.parse()?,
            Arg::Long("copies") => options.copies = parser.value()?.parse()?,
            Arg::Long("percent") => options.percent = parser.value()?.parse()?,
            Arg::Long("zones") => options.zones = parser.value()?.parse()?,
            Arg::Long("memory") => options.memory = parser.value()?.parse()?,
            Arg::Long("faults") => options.faults = true,
            Arg::Long("no-baseline") => options.baseline = false,
            Arg::Long("seed") => options.seed = parser.value()?.parse()?,
            Arg::Long("json") => options.json = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    Ok(options)
}

fn sizes(text: &str) -> anyhow::Result<Vec<usize>> {
    let number = |part| usize::from_str(part).context("--sizes: write numbers, as in 8,16,32");
    text.split(',').map(number).collect()
}

/// Least seconds in which all VMs can be ready.
fn bound(copy: ByteSize) -> f64 {
    2.0 * LINK.time_for(copy).as_secs_f64()
}

/// All VMs read all from the origin; a part of the copy is enough, as the time grows with it.
fn baseline(options: &Options, vms: usize) -> anyhow::Result<Outcome> {
    let options = Options { strategy: Strategy::Origin, faults: false, ..options.clone() };
    measure(&options, vms, ByteSize(COPY.0 / BASELINE_PART))
}

fn measure(options: &Options, vms: usize, copy: ByteSize) -> anyhow::Result<Outcome> {
    let settings = TestbedSettings {
        entries: 0,
        agents: vms,
        zones: options.zones,
        link_rate: LINK,
        origin_rate: ORIGIN,
        chunk_memory: options.memory,
        strategy: options.strategy,
        seed: options.seed,
        ..TestbedSettings::default()
    };
    let mut bed = Testbed::start(settings)?;
    bed.manifest.origin.copies = options.copies;
    bed.manifest.origin.percent = options.percent;
    bed.add_version(&Weights::generate("v1", copy, CHUNK, options.seed));
    let mut faults =
        options.faults.then(|| Faults::prepare(&mut bed, CHUNK, options.seed)).transpose()?;
    std::thread::sleep(SETTLE);
    let cpu = cpu_seconds();
    let start = Instant::now();
    let started = wall_clock_ms();
    bed.roll_out("v1", vms, 0);
    let limit = if options.strategy == Strategy::Origin { vms as u32 } else { MAX_RATIO };
    let limit = Duration::from_secs_f64(bound(copy)) * limit + SETTLE;
    let (mut first, mut copied, mut half) = (None, None, None);
    let mut ready = 0;
    while ready < vms && start.elapsed() < limit {
        std::thread::sleep(Duration::from_millis(10));
        if let Some(faults) = &mut faults {
            faults.step(&mut bed, start.elapsed().as_secs_f64() / bound(copy))?;
        }
        ready = bed.serving_count("base@v1");
        let seconds = start.elapsed().as_secs_f64();
        note(&mut first, bed.origin.bytes_sent() > 0, seconds);
        note(&mut copied, bed.origin.bytes_sent() >= copy.0, seconds);
        note(&mut half, ready * 2 >= vms, seconds);
    }
    let seconds = start.elapsed().as_secs_f64();
    let cores = (cpu_seconds() - cpu) / seconds;
    let sent = bed.origin.bytes_sent() + bed.store.bytes_sent();
    let learned = learned(&bed, started);
    let mixed = mixed(&bed) + faults.map_or(0, |f| f.partial);
    bed.stop();
    Ok(Outcome {
        ready,
        seconds,
        bound_ratio: seconds / bound(copy),
        origin_copies: sent as f64 / copy.0 as f64,
        learned,
        first: first.unwrap_or(seconds),
        copied: copied.unwrap_or(seconds),
        half: half.unwrap_or(seconds),
        cores,
        mixed,
    })
}

/// Keeps the time at which something was true first.
fn note(at: &mut Option<f64>, now: bool, seconds: f64) {
    if now {
        at.get_or_insert(seconds);
    }
}

/// Seconds from `started`, in milliseconds of the wall clock, until the last VM took the manifest.
fn learned(bed: &Testbed, started: u64) -> f64 {
    let revision = bed.manifest.revision;
    let accepted = |entry: &audit::Entry| match entry.change {
        Change::ManifestAccepted { manifest } => manifest == revision,
        _ => false,
    };
    let first = |slot: &AgentVm| {
        let trail = bed.audit_entries(slot.vm.control).unwrap_or_default();
        trail.iter().find(|entry| accepted(entry)).map(|entry| entry.time_ms)
    };
    let original = bed.agents.iter().filter(|slot| slot.vm.id.as_str().starts_with("model"));
    let last = original.filter_map(first).max().unwrap_or(started);
    Duration::from_millis(last.saturating_sub(started)).as_secs_f64()
}

fn mixed(bed: &Testbed) -> usize {
    let engines = bed.agents.iter().filter_map(|slot| slot.engine.as_ref());
    let wrong = |engine: &standins::Engine| {
        let foreign = engine.serving().is_some_and(|release| release != "base@v1");
        engine.counts().incomplete_activations as usize + usize::from(foreign)
    };
    engines.map(wrong).sum()
}

/// Processor time of this process so far, in seconds; 0 where the system does not tell.
fn cpu_seconds() -> f64 {
    /// Ticks a second in which the system counts.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS
}
