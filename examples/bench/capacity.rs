//! `bench capacity --from FILE`: estimates the resource needs of each role at a fleet size from
//! measured slopes.

mod roles;
mod sizes;

use std::path::PathBuf;

use anyhow::Context;
use lexopt::Arg;

use crate::control::Slopes;

/// Limit of the control plane's processor time in millicores.
const MAX_MILLICORES: f64 = 25.0;
/// Limit of the control plane's memory in bytes.
const MAX_BYTES: f64 = 256e6;
/// Limit of the control plane's messages in bytes per second.
const MAX_BYTES_PER_SECOND: f64 = 11e3;
/// Limit of the reads per second of the configuration service, over all processes.
const MAX_READS_PER_SECOND: f64 = 2_000.0;

/// One row of the table.
pub struct Row {
    /// Name of the resource.
    pub name: &'static str,
    /// Formula of the value, as slopes times counts.
    pub formula: String,
    /// Estimated need.
    pub value: f64,
    /// Unit of the value and the bound.
    pub unit: &'static str,
    /// Highest allowed value, if there is one.
    pub bound: Option<f64>,
}

/// Prints the tables for today's fleet and for the largest fleet that the design supports.
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
        for (role, rows) in roles::roles(&slopes, &size)? {
            println!("### {role}\n");
            println!("| need | slope x count | value | bound | |\n| --- | --- | --- | --- | --- |");
            rows.iter().for_each(print_row);
            println!();
        }
    }
    Ok(true)
}

fn print_row(row: &Row) {
    let Row { name, formula, value, unit, bound } = row;
    let verdict = match bound {
        Some(bound) if value > bound => "**RED**",
        Some(_) => "fits",
        None => "",
    };
    let bound = bound.map_or(String::new(), |bound| format!("{} {unit}", format_short(bound)));
    println!("| {name} | {formula} | {} {unit} | {bound} | {verdict} |", format_short(*value));
}

/// Formats a value with three significant digits.
fn format_short(value: f64) -> String {
    match value.abs() {
        0.0..10.0 => format!("{value:.2}"),
        10.0..100.0 => format!("{value:.1}"),
        _ => format!("{value:.0}"),
    }
}
