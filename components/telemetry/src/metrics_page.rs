//! Prometheus text metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();

/// Renders the metrics of this process.
#[derive(Clone)]
pub struct MetricsPage(Option<PrometheusHandle>);

impl MetricsPage {
    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.0.as_ref().map(PrometheusHandle::render).unwrap_or_default()
    }

    /// Drops samples that are no longer shown; to be called every few seconds.
    pub fn upkeep(&self) {
        if let Some(handle) = &self.0 {
            handle.run_upkeep();
        }
    }
}

/// Installs the recorder once for the process; later calls return the same page.
pub fn install() -> MetricsPage {
    let handle = HANDLE.get_or_init(|| PrometheusBuilder::new().install_recorder().ok());
    MetricsPage(handle.clone())
}
