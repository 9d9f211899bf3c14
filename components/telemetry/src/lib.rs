//! Logs and metrics of a process.

mod lines;
mod log;
mod metrics_page;
pub mod names;

pub use lines::Lines;
pub use log::{logger, quiet};
pub use metrics_page::{MetricsPage, install, install_without_thread};
