//! Work that is due every now and then.

use std::time::Duration;

use telemetry::{Lines, MetricsPage};
use tokio::time::{Instant, sleep};

/// Time between flushes of log lines.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between clean-ups of metrics.
const CLEAN_EVERY: Duration = Duration::from_secs(5);

/// Flushes log lines and cleans up metrics for as long as the process runs; `often` runs with each
/// flush, `seldom` with each clean-up.
pub async fn run_maintenance(
    lines: Lines,
    metrics: MetricsPage,
    mut often: impl FnMut(),
    mut seldom: impl FnMut(),
) {
    let mut cleaned = Instant::now();
    loop {
        sleep(FLUSH_INTERVAL).await;
        lines.flush();
        often();
        if cleaned.elapsed() >= CLEAN_EVERY {
            cleaned = Instant::now();
            metrics.upkeep();
            seldom();
        }
    }
}
