//! `bench control`: the slopes of control.

use std::{path::PathBuf, time::Instant};

use base::Digest;
use chunks::{Place, Plan};
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
        let micros = plan_micros(size);
        report.line("plan", &[("vms", size.into()), ("micros", micros.into())]);
    }
    if let Some(file) = json {
        report.write_json(&file)?;
    }
    Ok(true)
}

/// Time to compute the plan of one chunk list over `size` VMs.
fn plan_micros(size: usize) -> f64 {
    const ROUNDS: u32 = 50;
    let place = |i: usize| Place {
        vm: format!("vm-{i}").parse().expect("a well-formed id"),
        zone: format!("zone-{}", i % 19).parse().expect("a well-formed id"),
        region: format!("region-{}", i % 19 % 8).parse().expect("a well-formed id"),
    };
    let places: Vec<Place> = (0..size).map(place).collect();
    let list = Digest::of(b"list");
    let start = Instant::now();
    for _ in 0..ROUNDS {
        let plan = Plan::new(&list, &places, &places[0].vm);
        assert!(plan.rank(0).is_some());
    }
    start.elapsed().as_secs_f64() * 1e6 / f64::from(ROUNDS)
}
