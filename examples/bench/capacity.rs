//! `bench capacity --from FILE`: what each role needs at a size, worked out from measured slopes.

mod roles;
mod sizes;

use std::path::PathBuf;

use anyhow::Context;
use lexopt::Arg;

use crate::control::Slopes;

/// Part of a core that control may take, in thousandths.
const MAX_MILLICORES: f64 = 25.0;
const MAX_BYTES: f64 = 256e6;
const MAX_RATE: f64 = 11e3;
/// Reads a second of the configuration service, in all.
const MAX_READS: f64 = 2_000.0;

/// One line of the table.
pub struct Line {
    /// What is needed.
    pub what: &'static str,
    /// Slopes and counts that it comes from.
    pub sum: String,
    /// How much.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
    /// Most that is allowed, if there is a bound.
    pub bound: Option<f64>,
}

/// Prints the table for today's sizes and the designed ones.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<bool> {
    let mut from: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("from") => from = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let from = from.context("--from FILE is missing; name the JSON of bench control")?;
    let slopes = Slopes::read(&from)?;
    println!("Seed {}, optimized {}.", slopes.seed, slopes.optimized);
    for size in [sizes::TODAY, sizes::DESIGNED] {
        println!("\n## {}\n", size.name);
        for (role, lines) in roles::roles(&slopes, &size)? {
            println!("### {role}\n");
            println!("| need | slope x count | value | bound | |\n| --- | --- | --- | --- | --- |");
            lines.iter().for_each(print);
            println!();
        }
    }
    Ok(true)
}

fn print(line: &Line) {
    let Line { what, sum, value, unit, bound } = line;
    let fits = match bound {
        Some(bound) if value > bound => "**RED**",
        Some(_) => "fits",
        None => "",
    };
    let bound = bound.map_or(String::new(), |bound| format!("{} {unit}", short(bound)));
    println!("| {what} | {sum} | {} {unit} | {bound} | {fits} |", short(*value));
}

/// Three digits.
fn short(value: f64) -> String {
    match value.abs() {
        0.0..10.0 => format!("{value:.2}"),
        10.0..100.0 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}
