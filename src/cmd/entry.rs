//! `carawaypaddle entry`.

use std::{path::Path, sync::Arc};

use entry::Entry;
use settings::Settings;

use crate::cmd::signals;

/// Threads of the runtime that serves JSON-RPC.
const RPC_THREADS: usize = 2;

/// Runs an entry until SIGTERM or SIGINT has drained it.
pub fn run(file: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(file)?;
    let log = telemetry::logger(settings.vm.to_string(), "entry");
    let runtime = net::runtime(RPC_THREADS)?;
    let entry = Arc::new(Entry::start(settings, runtime.handle(), telemetry::install(), log)?);
    println!("entry callers={} control={}", entry.callers(), entry.control());
    let draining = entry.clone();
    signals::on_shutdown_signal(move || draining.drain())?;
    entry.wait();
    Ok(())
}
