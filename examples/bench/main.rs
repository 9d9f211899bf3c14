//! Benchmarks of the system: `bench COMMAND [--seed K] [--json FILE] [--plot FILE] ...`.
//!
//! Each run prints its settings and seed, one line per result, and a summary line at the end.

mod capacity;
mod control;
mod faults;
mod fit;
mod fleet;
mod plot;
mod report;
mod requests;
mod rollout;
mod spread;

use std::process::ExitCode;

const HELP: &str = "\
Usage: bench COMMAND [OPTIONS]

Commands:
  capacity  The table of docs/CAPACITY.md from measured slopes: --from FILE
  control   Slopes of control: bytes, processor time and memory
  fleet     Placement, documents and gossip at the size to design for
  plot      Draws the JSON of rollout: --from FILE --plot FILE
  requests  Requests under overload: --overload 3 [--rollout] [--faults] [--poison]
            [--policy p2c|random|round-robin] [--skew F] [--seconds N]
  rollout   Time until all VMs serve a new version, and bytes read from the origin

Options:
  --seed K     Seed of all that is random
  --json FILE  Write the results as JSON too

Options of rollout:
  --vms N         VMs, or --sizes N,N,... for several runs
  --strategy S    tree, rarest or origin
  --copies C      Copies that are read from the origin at once
  --percent P     Most that is read from the origin, in hundredths of a copy
  --zones Z       Availability zones
  --memory SIZE   Chunk memory of each agent
  --faults        Corrupt chunks, kill and replace VMs, stall a link, pause a process
  --no-baseline   Do not measure the baseline, in which all VMs read from the origin
";

fn main() -> ExitCode {
    let mut parser = lexopt::Parser::from_env();
    let command = match parser.next() {
        Ok(Some(lexopt::Arg::Value(command))) => command.to_string_lossy().into_owned(),
        _ => return usage("a command is missing"),
    };
    let result = match command.as_str() {
        "capacity" => capacity::run(parser),
        "control" => control::run(parser),
        "fleet" => fleet::run(parser),
        "plot" => plot::run(parser),
        "requests" => requests::run(parser),
        "rollout" => rollout::run(parser),
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
