//! `carawaypaddle`: puts model weights onto many VMs at once and serves requests through the change.

mod cli;
mod cmd;

use std::process::ExitCode;

fn main() -> ExitCode {
    match cli::parse(std::env::args_os()) {
        Ok(command) => cmd::run(command),
        Err(err) => {
            eprintln!("carawaypaddle: {err}");
            ExitCode::from(cli::USAGE_ERROR)
        }
    }
}
