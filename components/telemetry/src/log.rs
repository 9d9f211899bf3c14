//! One key=value line for each event, on standard error.

use std::{io::Stderr, sync::Mutex};

use slog::{Drain, Logger, o};

/// A logger whose lines carry the VM and the role of the process.
pub fn logger(vm: String, role: &'static str) -> Logger {
    let lines = slog_logfmt::Logfmt::<Stderr>::new(std::io::stderr()).build();
    let drain = Mutex::new(lines.filter_level(slog::Level::Info).fuse()).fuse();
    Logger::root(drain, o!("vm" => vm, "role" => role))
}

/// A logger that drops everything.
pub fn quiet() -> Logger {
    Logger::root(slog::Discard, o!())
}
