//! Periodic maintenance work.

use std::time::Duration;

use telemetry::{LogBuffer, MetricsHandle};
use tokio::time::{Instant, sleep};

/// Time between flushes of the log.
pub const FLUSH_INTERVAL: Duration = Duration::from_millis(250);
/// Time between clean-ups of the metrics.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(5);

/// Flushes the log and cleans up the metrics for as long as the process runs. `on_flush` runs with
/// each flush, `on_cleanup` with each clean-up.
pub async fn run_maintenance(
    lines: LogBuffer,
    metrics: MetricsHandle,
    mut on_flush: impl FnMut(),
    mut on_cleanup: impl FnMut(),
) {
    let mut last_cleanup = Instant::now();
    loop {
        sleep(FLUSH_INTERVAL).await;
        lines.flush();
        on_flush();
        if last_cleanup.elapsed() >= CLEANUP_INTERVAL {
            last_cleanup = Instant::now();
            metrics.run_upkeep();
            on_cleanup();
        }
    }
}
