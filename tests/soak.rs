//! A randomized soak test of gateways and stagers as processes; see docs/operate/soak.md.

#[path = "../platform/tests/soak/mod.rs"]
mod soak;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    path::{Path, PathBuf},
    sync::Mutex,
};

/// Seeds that are always run.
const DEFAULT_SEEDS: [u64; 3] = [1, 2, 3];
/// Seeds that failed once. 9: endpoints got requests while they asked for none. 12: a proxy accepted connections for a process that did not listen yet.
/// 107: another socket took a port between its selection and its use. 910011: a piece whose upload failed was not uploaded again.
const REGRESSIONS: [u64; 4] = [9, 12, 107, 910011];
/// Maximum number of concurrent runs.
const MAX_PARALLEL_RUNS: usize = 6;

/// Returns the seeds in `SOAK_SEEDS=FIRST-LAST`, or by default those that are always run.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else {
        return [&DEFAULT_SEEDS[..], &REGRESSIONS].concat();
    };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    (first.parse().unwrap()..=last.parse().unwrap()).collect()
}

fn run_seed(seed: u64) -> bool {
    let program = Path::new(env!("CARGO_BIN_EXE_carawaypaddle"));
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("soak-{seed}"));
    let outcome = soak::run_seed(seed, program, &dir);
    let soak::Outcome { ends, faults, max_stall, .. } = &outcome;
    println!("seed {seed}: ends {ends:?}, faults {faults:?}, stalled for {max_stall:?}");
    for finding in &outcome.findings {
        println!("seed {seed}: {finding}");
    }
    outcome.findings.is_empty()
}

#[test]
fn promises_hold_under_faults() {
    let remaining = Mutex::new(seeds());
    let failed = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..MAX_PARALLEL_RUNS {
            scope.spawn(|| {
                loop {
                    let Some(seed) = remaining.lock().unwrap().pop() else { return };
                    if !run_seed(seed) {
                        failed.lock().unwrap().push(seed);
                    }
                }
            });
        }
    });
    assert!(failed.into_inner().unwrap().is_empty(), "see the findings above");
}
