//! Measures the system: `bench COMMAND [--seed K] [--json FILE] [--plot FILE] ...`.
//!
//! Each run prints its settings and seed, a line for each result, and a last line that sums it up.

mod control;
mod fleet;
mod report;

use std::process::ExitCode;

const HELP: &str = "\
Usage: bench COMMAND [OPTIONS]

Commands:
  control   Slopes of control: bytes, processor time and memory
  fleet     Placement, documents and gossip at the size to design for

Options:
  --seed K     Seed of all that is random
  --json FILE  Write the results as JSON too
";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next() {
        Ok(Some(lexopt::Arg::Value(command))) => command.to_string_lossy().into_owned(),
        _ => return usage("a command is missing"),
    };
    let result = match command.as_str() {
        "control" => control::run(parser),
        "fleet" => fleet::run(parser),
        other => return usage(&format!("command {other:?} does not exist")),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(err) => {
            eprintln!("bench {command}: {err:#}");
            ExitCode::FAILURE
        }
    }
}

fn usage(problem: &str) -> ExitCode {
    eprintln!("bench: {problem}\n\n{HELP}");
    ExitCode::from(2)
}
