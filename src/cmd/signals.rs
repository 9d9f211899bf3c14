//! Graceful shutdown by signal.

use std::thread;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Calls `drain` on every SIGTERM or SIGINT.
pub fn on_shutdown_signal(drain: impl Fn() + Send + 'static) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || signals.forever().for_each(|_| drain()));
    Ok(())
}
