//! The live part of `bench fleet`: time until a manifest is in force at all processes.

use std::time::{Duration, Instant};

use testbed::{Testbed, TestbedSettings};

use crate::report::Report;

/// Agents.
const AGENTS: usize = 57;
/// Availability zones.
const ZONES: usize = 19;
/// Manifests that are published.
const CHANGES: usize = 10;
/// Longest time that is waited for one.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Publishes manifests and waits until each is in force everywhere.
pub fn measure(report: &mut Report) -> anyhow::Result<()> {
    let settings = TestbedSettings { agents: AGENTS, zones: ZONES, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings)?;
    bed.wait_until("start", TIMEOUT, |bed| in_force(bed) == AGENTS)?;
    let reads = bed.config.read_count();
    let start = Instant::now();
    let mut seconds = Vec::new();
    for _ in 0..CHANGES {
        bed.publish_manifest();
        let taken = bed.wait_until("in force", TIMEOUT, |bed| in_force(bed) == AGENTS)?;
        seconds.push(taken.as_secs_f64());
    }
    let reads = (bed.config.read_count() - reads) as f64 / start.elapsed().as_secs_f64();
    seconds.sort_by(f64::total_cmp);
    report.line(
        "spread",
        &[
            ("processes", (AGENTS + 1).into()),
            ("zones", ZONES.into()),
            ("seconds_median", seconds[CHANGES / 2].into()),
            ("seconds_most", seconds[CHANGES - 1].into()),
            ("reads_per_second", reads.into()),
        ],
    );
    bed.stop();
    Ok(())
}

fn in_force(bed: &Testbed) -> usize {
    let wanted = bed.manifest.revision;
    let agents = bed.agents.iter().map(|slot| slot.vm.control);
    agents.filter(|at| bed.status(*at).is_ok_and(|status| status.manifest == wanted)).count()
}
