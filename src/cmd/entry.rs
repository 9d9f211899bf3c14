//! `carawaypaddle entry`.

use std::{path::Path, sync::Arc};

use entry::Entry;
use settings::Settings;

use crate::cmd::signals;

/// Threads for JSON-RPC.
const RPC_THREADS: usize = 2;

/// Runs an entry until a signal stops it.
pub fn run(file: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(file)?;
    let log = telemetry::logger(settings.vm.to_string(), "entry");
    let runtime = net::runtime(RPC_THREADS)?;
    let entry = Arc::new(Entry::start(settings, runtime.handle(), telemetry::install(), log)?);
    println!("entry callers={} control={}", entry.callers(), entry.control());
    let stopped = entry.clone();
    signals::on_stop(move || stopped.drain())?;
    entry.wait();
    Ok(())
}
