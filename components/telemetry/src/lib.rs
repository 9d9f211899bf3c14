//! Logging and metrics of a process.

mod lines;
mod log;
mod metrics_page;
pub mod names;

pub use lines::LogBuffer;
pub use log::{discard_logger, logger};
pub use metrics_page::{MetricsHandle, install, install_without_upkeep_thread};
