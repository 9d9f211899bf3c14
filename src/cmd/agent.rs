//! `carawaypaddle agent`.

use std::{path::Path, sync::Arc};

use agent::Agent;
use settings::Settings;

use crate::cmd::signals;

/// Threads of the runtime that serves JSON-RPC.
const RPC_THREADS: usize = 2;

/// Runs an agent until SIGTERM or SIGINT has drained it.
pub fn run(file: &Path) -> anyhow::Result<()> {
    let settings = Settings::load(file)?;
    let log = telemetry::logger(settings.vm.to_string(), "agent");
    let runtime = net::runtime(RPC_THREADS)?;
    let agent = Arc::new(Agent::start(settings, runtime.handle(), log)?);
    println!("agent control={} data={}", agent.control(), agent.data());
    let draining = agent.clone();
    signals::on_shutdown_signal(move || draining.drain())?;
    agent.wait();
    Ok(())
}
