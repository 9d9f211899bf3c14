//! Rolls out two versions to a small fleet while callers stream responses, and prints a summary
//! line.

use std::{
    process::ExitCode,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use base::ByteSize;
use testbed::{CallResult, Caller, Testbed, TestbedSettings, Weights};

const AGENTS: usize = 8;
const ENTRIES: usize = 2;
const CALLERS: usize = 8;
const WEIGHTS_SIZE: ByteSize = ByteSize(16 << 20);
const CHUNK_SIZE: ByteSize = ByteSize(256 << 10);
const TOKENS: usize = 20;
const TIMEOUT: Duration = Duration::from_secs(40);

/// Results of all callers, and their stop flag.
#[derive(Default)]
struct CallerStats {
    requests: AtomicU64,
    harmed: AtomicU64,
    stop: AtomicBool,
}

fn main() -> ExitCode {
    match run() {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("demo failed: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn run() -> anyhow::Result<bool> {
    let start = Instant::now();
    let settings = TestbedSettings {
        entries: ENTRIES,
        agents: AGENTS,
        zones: 3,
        ..TestbedSettings::default()
    };
    let mut bed = Testbed::start(settings)?;
    println!("started {ENTRIES} entries, {AGENTS} agents and their stand-ins");
    let before = roll_out(&mut bed, "v1", 1)?;
    let stats = Arc::new(CallerStats::default());
    let callers = start_callers(&bed, &stats);
    println!("started {CALLERS} callers that stream answers");
    let sent = roll_out(&mut bed, "v2", 2)? - before;
    // Lets some requests start after the last agent has switched.
    thread::sleep(Duration::from_millis(500));
    stats.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| anyhow::anyhow!("a caller panicked"))?;
    }
    bed.stop();
    let partial: u32 =
        bed.agents.iter().flat_map(|s| &s.engine).map(|e| e.counts().incomplete_activations).sum();
    let harmed = stats.harmed.load(Ordering::Relaxed) + u64::from(partial);
    let requests = stats.requests.load(Ordering::Relaxed);
    let copies = sent as f64 / WEIGHTS_SIZE.0 as f64;
    let ok = harmed == 0 && requests > 0;
    println!(
        "demo {} replicas={} origin_copies={copies:.1}x requests={requests} harmed={harmed} seconds={:.1}",
        if ok { "ok" } else { "failed" },
        bed.serving_count("base@v2"),
        start.elapsed().as_secs_f64()
    );
    Ok(ok)
}

/// Rolls a version out to all agents; returns the total bytes that the origin has sent so far.
fn roll_out(bed: &mut Testbed, version: &str, seed: u64) -> anyhow::Result<u64> {
    let release = format!("base@{version}");
    bed.add_version(&Weights::generate(version, WEIGHTS_SIZE, CHUNK_SIZE, seed));
    bed.roll_out(version, AGENTS, AGENTS - 2);
    let mut last_ready = 0;
    let took = bed.wait_until(&release, TIMEOUT, |bed| {
        let ready = bed.serving_count(&release);
        if ready > last_ready {
            last_ready = ready;
            println!("{release}: {ready}/{AGENTS} replicas ready");
        }
        ready == AGENTS
    })?;
    println!("{release}: on all replicas after {:.1}s", took.as_secs_f64());
    Ok(bed.origin.bytes_sent())
}

fn start_callers(bed: &Testbed, stats: &Arc<CallerStats>) -> Vec<thread::JoinHandle<()>> {
    (0..CALLERS)
        .map(|i| {
            let stats = stats.clone();
            let entry = bed.caller_addr(i % ENTRIES);
            thread::spawn(move || run_caller(i, entry, &stats))
        })
        .collect()
}

/// Sends requests one after the other until the stop flag is set.
fn run_caller(caller_index: usize, entry: std::net::SocketAddr, stats: &CallerStats) {
    let caller = Caller::default();
    for n in 0.. {
        if stats.stop.load(Ordering::Relaxed) {
            return;
        }
        let response = caller.chat(entry, &format!("caller {caller_index} question {n}"), TOKENS);
        stats.requests.fetch_add(1, Ordering::Relaxed);
        if !matches!(response, CallResult::Whole { .. }) {
            stats.harmed.fetch_add(1, Ordering::Relaxed);
            println!("caller {caller_index}: request {n}: {response:?}");
        }
    }
}
