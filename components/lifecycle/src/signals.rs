//! Signals that stop a process.

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Waits for SIGTERM or SIGINT. Fails if the signal handlers cannot be installed.
pub async fn wait_for_stop_signal() -> anyhow::Result<()> {
    let mut terminate = signal(SignalKind::terminate()).context("SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).context("SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
