//! Plots of results as SVG files.

use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};
use lexopt::Arg;
use plotters::prelude::*;
use serde_json::Value;

use crate::fit::{Slope, fit};

/// Width and height of one plot in pixels.
const PANEL_SIZE: (u32, u32) = (420, 280);
/// Number of plots in a row.
const COLUMNS: usize = 3;

/// Plots the results of `bench rollout --json` over several sizes: time and copies read from the
/// origin.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<bool> {
    let (mut from, mut plot_file) = (None::<PathBuf>, None::<PathBuf>);
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("from") => from = Some(parser.value()?.into()),
            Arg::Long("plot") => plot_file = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let from = from.context("--from FILE is missing; name the JSON of bench rollout")?;
    let plot_file = plot_file.context("--plot FILE is missing; name the picture")?;
    let lines: Vec<Value> = serde_json::from_slice(&std::fs::read(&from)?)?;
    let lines: Vec<&Value> = lines.iter().filter(|line| line["line"] == "rollout").collect();
    ensure!(
        lines.len() > 1,
        "{}: has fewer than two sizes; run bench rollout with --sizes",
        from.display()
    );
    let points = |key: &str| {
        let point = |line: &&Value| Some((line["vms"].as_f64()?, line[key].as_f64()?));
        lines.iter().filter_map(point).collect::<Vec<_>>()
    };
    let panels = [
        fit("time to all replicas", "s", "VM", points("seconds")),
        fit("time over the bound", "ratio", "VM", points("bound_ratio")),
        fit("copies read from the origin", "copies", "VM", points("origin_copies")),
    ];
    draw_slopes(&plot_file, &format!("bench rollout, seed {}", lines[0]["seed"]), &panels)?;
    Ok(true)
}

/// Plots each slope with its points in a separate panel.
pub fn draw_slopes(file: &Path, title: &str, slopes: &[Slope]) -> anyhow::Result<()> {
    let rows = slopes.len().div_ceil(COLUMNS);
    let size = (PANEL_SIZE.0 * COLUMNS as u32, PANEL_SIZE.1 * rows as u32 + 40);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 18))?;
    for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
        draw_panel(area, slope)?;
    }
    root.present()?;
    Ok(())
}

fn draw_panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    slope: &Slope,
) -> anyhow::Result<()> {
    let axis_max = |f: fn(&(f64, f64)) -> f64| slope.points.iter().map(f).fold(0.0, f64::max) * 1.1;
    let (x, y) = (axis_max(|p| p.0), axis_max(|p| p.1).max(1e-9));
    let mut chart = ChartBuilder::on(area)
        .caption(format!("{} in {} per {}", slope.name, slope.unit, slope.per), ("sans-serif", 13))
        .margin(8)
        .x_label_area_size(26)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..x, 0.0..y)?;
    chart.configure_mesh().x_labels(5).y_labels(5).draw()?;
    let line = [0.0, x].map(|x| (x, slope.base + slope.slope * x));
    chart.draw_series(LineSeries::new(line, &BLUE))?;
    chart.draw_series(slope.points.iter().map(|p| Circle::new(*p, 3, RED.filled())))?;
    Ok(())
}
