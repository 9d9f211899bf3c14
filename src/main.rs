//! `carawaypaddle`: rolls out model weights to many VMs at once and keeps serving requests
//! meanwhile.

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
