//! Logging to standard error, one line of key=value pairs for each event.

use std::{
    io::LineWriter,
    sync::Mutex,
    time::{SystemTime, UNIX_EPOCH},
};

use slog::{Drain, FnValue, Level, Logger, o};

/// Creates a logger whose lines include the time and the VM and role of the process.
pub fn logger(vm: String, role: &'static str) -> Logger {
    // Each line is written in a single call, so that lines of several loggers do not interleave.
    let out = LineWriter::new(std::io::stderr());
    let lines = slog_logfmt::Logfmt::new(out).no_prefix().print_level(true).print_msg(true).build();
    let drain = Mutex::new(lines.filter_level(Level::Info).fuse()).fuse();
    Logger::root(drain, o!("time_ms" => FnValue(|_| now_ms()), "vm" => vm, "role" => role))
}

pub(crate) fn now_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// Creates a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}
