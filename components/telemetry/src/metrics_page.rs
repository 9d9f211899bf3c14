//! Metrics in the Prometheus text format.

use std::{sync::OnceLock, thread, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::names;

/// Interval at which old histogram samples are drained.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsHandle(Option<PrometheusHandle>);

impl MetricsHandle {
    /// Returns the metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.as_ref().map(PrometheusHandle::render).unwrap_or_default()
    }

    /// Drains old histogram samples. Must be called every few seconds.
    pub fn run_upkeep(&self) {
        if let Some(handle) = &self.0 {
            handle.run_upkeep();
        }
    }
}

/// Installs the recorder, once per process, with a thread that runs its upkeep. Later calls return
/// a handle to the same recorder.
pub fn install() -> MetricsHandle {
    MetricsHandle(HANDLE.get_or_init(install_with_upkeep_thread).clone())
}

/// Installs the recorder for a process that calls `MetricsHandle::run_upkeep` itself.
pub fn install_without_upkeep_thread() -> MetricsHandle {
    MetricsHandle(HANDLE.get_or_init(install_recorder).clone())
}

fn install_recorder() -> Option<PrometheusHandle> {
    let handle = PrometheusBuilder::new().install_recorder().ok()?;
    names::describe();
    Some(handle)
}

fn install_with_upkeep_thread() -> Option<PrometheusHandle> {
    let handle = install_recorder()?;
    let thread_handle = handle.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(UPKEEP_INTERVAL);
            thread_handle.run_upkeep();
        }
    });
    Some(handle)
}
