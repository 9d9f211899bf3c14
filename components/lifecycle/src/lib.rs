//! What every process on the users' platform does besides its own role: it listens, serves metrics,
//! reloads changed settings, flushes logs, detects pauses and waits for the signal to stop.

mod listen;
mod maintenance;
mod pauses;
mod settings_file;
mod signals;

pub use listen::{internal_accept_settings, listen, serve_metrics};
pub use maintenance::{FLUSH_INTERVAL, run_maintenance};
pub use pauses::{BootTime, Pause, Pauses};
pub use settings_file::SettingsFile;
pub use signals::{survive_early_hangups, wait_for_stop_signal};
