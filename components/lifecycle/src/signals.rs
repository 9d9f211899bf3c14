//! Signals that stop a process or tell it that its settings have changed.

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};

/// Makes SIGHUP harmless from now on, before its handler reloads the settings. Fails if that cannot be done.
pub fn survive_early_hangups() -> anyhow::Result<()> {
    // The process keeps this disposition when the receiver is dropped.
    drop(signal(SignalKind::hangup()).context("SIGHUP")?);
    Ok(())
}

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
