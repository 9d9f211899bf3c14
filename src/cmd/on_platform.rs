//! `carawaypaddle gateway` and `carawaypaddle stager`: the processes on the users' platform.

use std::path::{Path, PathBuf};

use anyhow::Context;
use catalog::ProcessSettings;
use telemetry::{LogBuffer, MetricsHandle};
use tokio::{runtime::Builder, task::LocalSet};

use crate::cli::PlatformRole;

/// Runs a process until a signal stops it. Without `file`, the platform's environment variable
/// gives the path of the settings.
pub fn run(role: PlatformRole, file: Option<&Path>) -> anyhow::Result<()> {
    let file = file.map_or_else(platform::settings_path, Path::to_owned);
    let runtime = Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, start(role, file))
}

async fn start(role: PlatformRole, file: PathBuf) -> anyhow::Result<()> {
    // The platform may change the settings while they are read.
    lifecycle::survive_early_hangups()?;
    let process = read_settings(&file)?;
    let lines = LogBuffer::start();
    let log = lines.logger(process.vm.to_string(), role.as_str());
    let metrics: MetricsHandle = telemetry::install_without_upkeep_thread();
    match role {
        PlatformRole::Gateway => gateway::run(file, process, log, lines, metrics).await,
        PlatformRole::Stager => stager::run(file, process, log, lines, metrics).await,
    }
}

/// Checks a settings file of the platform and prints one line if it is valid.
pub fn check(file: &Path) -> anyhow::Result<()> {
    let process = read_settings(file)?;
    println!("{} is good: VM {} in zone {}", file.display(), process.vm, process.zone);
    Ok(())
}

fn read_settings(file: &Path) -> anyhow::Result<ProcessSettings> {
    let text =
        std::fs::read_to_string(file).with_context(|| format!("cannot read {}", file.display()))?;
    platform::decode_settings(&text)
        .with_context(|| format!("invalid settings in {}", file.display()))
}
