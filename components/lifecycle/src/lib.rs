//! What every process on the users' platform does besides its role: it listens, serves its metrics,
//! takes up changed settings, writes its log lines, and waits for the signal to stop.

mod listen;
mod settings_file;
mod signals;
mod upkeep;

pub use listen::{inner_settings, listen, serve_metrics};
pub use settings_file::SettingsFile;
pub use signals::stop_signal;
pub use upkeep::{FLUSH_EVERY, upkeep};
