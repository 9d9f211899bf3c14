//! Planned stops by signal.

use std::thread;

use signal_hook::{
    consts::{SIGINT, SIGTERM},
    iterator::Signals,
};

/// Calls `drain` at each SIGTERM or SIGINT.
pub fn on_stop(drain: impl Fn() + Send + 'static) -> anyhow::Result<()> {
    let mut signals = Signals::new([SIGTERM, SIGINT])?;
    thread::spawn(move || signals.forever().for_each(|_| drain()));
    Ok(())
}
