//! Prometheus text metrics.

use std::{sync::OnceLock, thread, time::Duration};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

use crate::names;

/// Time between clean-ups of samples.
const UPKEEP_EVERY: Duration = Duration::from_secs(5);

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsHandle(Option<PrometheusHandle>);

impl MetricsHandle {
    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.as_ref().map(PrometheusHandle::render).unwrap_or_default()
    }

    /// Cleans up samples; due every few seconds.
    pub fn run_upkeep(&self) {
        if let Some(handle) = &self.0 {
            handle.run_upkeep();
        }
    }
}

/// Installs the recorder once for the process; later calls return the same page.
pub fn install() -> MetricsHandle {
    MetricsHandle(HANDLE.get_or_init(start).clone())
}

/// Installs the recorder for a process that calls `MetricsPage::upkeep` itself.
pub fn install_without_upkeep_thread() -> MetricsHandle {
    MetricsHandle(HANDLE.get_or_init(recorder).clone())
}

fn recorder() -> Option<PrometheusHandle> {
    let handle = PrometheusBuilder::new().install_recorder().ok()?;
    names::describe();
    Some(handle)
}

fn start() -> Option<PrometheusHandle> {
    let handle = recorder()?;
    let kept = handle.clone();
    thread::spawn(move || {
        loop {
            thread::sleep(UPKEEP_EVERY);
            kept.run_upkeep();
        }
    });
    Some(handle)
}
