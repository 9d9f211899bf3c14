//! `bench control`: the slopes of control.

use std::{path::PathBuf, time::Instant};

use base::{Digest, VmId};
use chunks::Tree;
use lexopt::Arg;

use crate::report::Report;

/// Sizes of the rollout that are measured.
const SIZES: [usize; 4] = [64, 128, 256, 512];

/// Measures the processor time of decisions over several sizes.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<bool> {
    let mut json: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut report = Report::default();
    for size in SIZES {
        let micros = tree_micros(size);
        report.line("tree", &[("vms", size.into()), ("micros", micros.into())]);
    }
    if let Some(file) = json {
        report.write_json(&file)?;
    }
    Ok(true)
}

/// Time to compute the trees of one chunk list over `size` VMs.
fn tree_micros(size: usize) -> f64 {
    const ROUNDS: u32 = 50;
    let members: Vec<VmId> =
        (0..size).map(|i| format!("vm-{i}").parse().expect("a well-formed id")).collect();
    let list = Digest::of(b"list");
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let tree = Tree::new(&list, &members, &members[0]);
        assert!(tree.depth_order(0).is_some());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
