//! Logs and metrics of a process.

mod log;
mod metrics_page;
pub mod names;

pub use log::{logger, quiet};
pub use metrics_page::{MetricsPage, install};
