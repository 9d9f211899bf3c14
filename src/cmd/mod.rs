//! Implementation of the commands.

mod agent;
mod audit;
mod check;
mod entry;
mod explain;
mod on_platform;
mod plan;
mod remote;
mod signals;
mod status;

use std::process::ExitCode;

use crate::cli::Command;

/// Runs a command; prints errors to standard error.
pub fn run(command: Command) -> ExitCode {
    let result = match command {
        Command::Entry { settings } => entry::run(&settings),
        Command::Agent { settings } => agent::run(&settings),
        Command::Platform { role, settings } => on_platform::run(role, settings.as_deref()),
        Command::CheckPlatform { settings } => on_platform::check(&settings),
        Command::CheckSettings { settings } => check::settings(&settings),
        Command::CheckManifest { manifest } => check::manifest(&manifest),
        Command::Plan { manifest, vms, json } => plan::run(&manifest, &vms, json),
        Command::Status(target) => status::run(&target),
        Command::Audit { target, follow } => audit::run(&target, follow),
        Command::Explain(question) => explain::run(&question),
        Command::Print(text) => {
            print!("{text}");
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("{err:#}");
            ExitCode::FAILURE
        }
    }
}
