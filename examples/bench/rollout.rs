//! `bench rollout`: time until all VMs serve a new version, and bytes read from the origin.
//!
//! Links are slow, so that the network and not the processors limit the rollout: a VM's link
//! carries `LINK_RATE` in both directions together, and the origin's link twice as much. Each VM
//! receives one copy and sends about one, so a rollout takes at least the time of two copies over
//! one link. This is the lower bound that `bound_ratio` refers to.

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

use crate::{faults::FaultInjector, report::Report};

/// Size of one copy of the weights.
const COPY_SIZE: ByteSize = ByteSize(16 << 20);
const CHUNK_SIZE: ByteSize = ByteSize(128 << 10);
const LINK_RATE: ByteRate = ByteRate(4 << 20);
const ORIGIN_RATE: ByteRate = ByteRate(8 << 20);
/// The baseline distributes a copy of the full size divided by this.
const BASELINE_DIVISOR: u64 = 16;
/// Time for all processes to receive the VM list before the rollout begins.
const SETTLE: Duration = Duration::from_secs(3);
/// Time limit of a run in multiples of the bound.
const MAX_BOUND_RATIO: u32 = 6;

/// Options of the command line.
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

/// Results of a run.
struct Outcome {
    ready: usize,
    seconds: f64,
    bound_ratio: f64,
    origin_copies: f64,
    /// Seconds until all VMs that ran from the start had accepted the manifest, by their audit
    /// trails.
    manifest_delay: f64,
    /// Seconds until the origin started to send the first chunk.
    first_chunk: f64,
    /// Seconds until the origin had sent a full copy.
    full_copy: f64,
    /// Seconds until half of the VMs were ready.
    half_ready: f64,
    /// Mean number of busy processors, for all processes and simulated services together.
    cores: f64,
    /// Activations of a release without all of its chunks, plus engines that serve another release.
    mixed: usize,
}

/// Runs the rollouts; returns whether all VMs became ready and none served mixed weights.
pub fn run(parser: lexopt::Parser) -> anyhow::Result<bool> {
    let options = parse(parser)?;
    let mut report = Report::default();
    let mut passed = true;
    for &vms in &options.sizes {
        let baseline = if options.baseline { Some(baseline(&options, vms)?) } else { None };
        let outcome = measure(&options, vms, COPY_SIZE)?;
        let ratio = baseline.map_or("none".into(), |b| b.bound_ratio.into());
        let pairs = [
            ("strategy", options.strategy.to_string().into()),
            ("faults", options.faults.into()),
            ("copies", options.copies.into()),
            ("percent", options.percent.into()),
            ("zones", options.zones.into()),
            ("seed", options.seed.into()),
            ("bound", bound(COPY_SIZE).into()),
            ("learned", outcome.manifest_delay.into()),
            ("first", outcome.first_chunk.into()),
            ("copied", outcome.full_copy.into()),
            ("half", outcome.half_ready.into()),
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
        passed &= outcome.ready == vms && outcome.mixed == 0;
    }
    if let Some(file) = &options.json {
        report.write_json(file)?;
    }
    Ok(passed)
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

/// Lower bound in seconds of the time until all VMs are ready.
fn bound(copy: ByteSize) -> f64 {
    2.0 * LINK_RATE.time_for(copy).as_secs_f64()
}

/// Measures the baseline, in which all VMs read everything from the origin. A fraction of the copy
/// is enough, as the time is proportional to its size.
fn baseline(options: &Options, vms: usize) -> anyhow::Result<Outcome> {
    let options = Options { strategy: Strategy::Origin, faults: false, ..options.clone() };
    measure(&options, vms, ByteSize(COPY_SIZE.0 / BASELINE_DIVISOR))
}

fn measure(options: &Options, vms: usize, copy: ByteSize) -> anyhow::Result<Outcome> {
    let settings = TestbedSettings {
        entries: 0,
        agents: vms,
        zones: options.zones,
        link_rate: LINK_RATE,
        origin_rate: ORIGIN_RATE,
        chunk_memory: options.memory,
        strategy: options.strategy,
        seed: options.seed,
        ..TestbedSettings::default()
    };
    let mut bed = Testbed::start(settings)?;
    bed.manifest.origin.copies = options.copies;
    bed.manifest.origin.percent = options.percent;
    bed.add_version(&Weights::generate("v1", copy, CHUNK_SIZE, options.seed));
    let mut faults = options
        .faults
        .then(|| FaultInjector::prepare(&mut bed, CHUNK_SIZE, options.seed))
        .transpose()?;
    std::thread::sleep(SETTLE);
    let cpu = cpu_seconds();
    let start = Instant::now();
    let started = wall_clock_ms();
    bed.roll_out("v1", vms, 0);
    let limit = if options.strategy == Strategy::Origin { vms as u32 } else { MAX_BOUND_RATIO };
    let limit = Duration::from_secs_f64(bound(copy)) * limit + SETTLE;
    let (mut first_chunk, mut full_copy, mut half_ready) = (None, None, None);
    let mut ready = 0;
    while ready < vms && start.elapsed() < limit {
        std::thread::sleep(Duration::from_millis(10));
        if let Some(faults) = &mut faults {
            faults.inject_next(&mut bed, start.elapsed().as_secs_f64() / bound(copy))?;
        }
        ready = bed.serving_count("base@v1");
        let seconds = start.elapsed().as_secs_f64();
        record_first(&mut first_chunk, bed.origin.bytes_sent() > 0, seconds);
        record_first(&mut full_copy, bed.origin.bytes_sent() >= copy.0, seconds);
        record_first(&mut half_ready, ready * 2 >= vms, seconds);
    }
    let seconds = start.elapsed().as_secs_f64();
    let cores = (cpu_seconds() - cpu) / seconds;
    let sent = bed.origin.bytes_sent() + bed.store.bytes_sent();
    let manifest_delay = manifest_delay(&bed, started);
    let mixed = mixed(&bed) + faults.map_or(0, |f| f.partial);
    bed.stop();
    Ok(Outcome {
        ready,
        seconds,
        bound_ratio: seconds / bound(copy),
        origin_copies: sent as f64 / copy.0 as f64,
        manifest_delay,
        first_chunk: first_chunk.unwrap_or(seconds),
        full_copy: full_copy.unwrap_or(seconds),
        half_ready: half_ready.unwrap_or(seconds),
        cores,
        mixed,
    })
}

/// Records in `at` the first time at which `now` is true.
fn record_first(at: &mut Option<f64>, now: bool, seconds: f64) {
    if now {
        at.get_or_insert(seconds);
    }
}

/// Seconds from `started`, a wall-clock time in milliseconds, until the last VM accepted the
/// manifest.
fn manifest_delay(bed: &Testbed, started: u64) -> f64 {
    let revision = bed.manifest.revision;
    let accepted = |entry: &audit::AuditEntry| match entry.change {
        Change::ManifestAccepted { manifest } => manifest == revision,
        _ => false,
    };
    let accepted_at = |slot: &AgentVm| {
        let trail = bed.audit_entries(slot.vm.control).unwrap_or_default();
        trail.iter().find(|entry| accepted(entry)).map(|entry| entry.time_ms)
    };
    let original = bed.agents.iter().filter(|slot| slot.vm.id.as_str().starts_with("model"));
    let last = original.filter_map(accepted_at).max().unwrap_or(started);
    Duration::from_millis(last.saturating_sub(started)).as_secs_f64()
}

/// Counts activations of incomplete weights and engines that serve a wrong release.
fn mixed(bed: &Testbed) -> usize {
    let engines = bed.agents.iter().filter_map(|slot| slot.engine.as_ref());
    let wrong = |engine: &standins::Engine| {
        let foreign = engine.serving().is_some_and(|release| release != "base@v1");
        engine.counts().incomplete_activations as usize + usize::from(foreign)
    };
    engines.map(wrong).sum()
}

/// Processor time of this process so far in seconds; 0 where `/proc` is not available.
fn cpu_seconds() -> f64 {
    /// Clock ticks per second in `/proc`.
    const TICKS: f64 = 100.0;
    let stat = std::fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
    let ticks = fields.skip(11).take(2).filter_map(|f| f.parse::<f64>().ok());
    ticks.sum::<f64>() / TICKS
}
