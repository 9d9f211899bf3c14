//! The part of `bench fleet` with running processes: time until all of them use a new manifest.

use std::time::{Duration, Instant};

use testbed::{Testbed, TestbedSettings};

use crate::report::Report;

/// Number of agents.
const AGENTS: usize = 57;
/// Number of availability zones.
const ZONES: usize = 19;
/// Number of manifests that are published.
const CHANGES: usize = 10;
/// Time limit for one manifest to reach all processes.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Publishes manifests one by one and waits until every agent uses each of them.
pub fn measure(report: &mut Report) -> anyhow::Result<()> {
    let settings = TestbedSettings { agents: AGENTS, zones: ZONES, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings)?;
    bed.wait_until("start", TIMEOUT, |bed| count_up_to_date(bed) == AGENTS)?;
    let config_reads = bed.config.read_count();
    let start = Instant::now();
    let mut seconds = Vec::new();
    for _ in 0..CHANGES {
        bed.publish_manifest();
        let elapsed = bed.wait_until("in force", TIMEOUT, |bed| count_up_to_date(bed) == AGENTS)?;
        seconds.push(elapsed.as_secs_f64());
    }
    let config_reads =
        (bed.config.read_count() - config_reads) as f64 / start.elapsed().as_secs_f64();
    seconds.sort_by(f64::total_cmp);
    report.line(
        "spread",
        &[
            ("processes", (AGENTS + 1).into()),
            ("zones", ZONES.into()),
            ("seconds_median", seconds[CHANGES / 2].into()),
            ("seconds_most", seconds[CHANGES - 1].into()),
            ("reads_per_second", config_reads.into()),
        ],
    );
    bed.stop();
    Ok(())
}

/// Counts the agents that use the newest manifest.
fn count_up_to_date(bed: &Testbed) -> usize {
    let wanted = bed.manifest.revision;
    let agents = bed.agents.iter().map(|slot| slot.vm.control);
    agents.filter(|at| bed.status(*at).is_ok_and(|status| status.manifest == wanted)).count()
}
