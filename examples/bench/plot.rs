//! Pictures of results as SVG.

use std::path::Path;

use plotters::prelude::*;

use crate::fit::Slope;

const PANEL: (u32, u32) = (420, 280);
const COLUMNS: usize = 3;

/// Draws each slope with its points in a panel of its own.
pub fn slopes(file: &Path, title: &str, slopes: &[Slope]) -> anyhow::Result<()> {
    let rows = slopes.len().div_ceil(COLUMNS);
    let size = (PANEL.0 * COLUMNS as u32, PANEL.1 * rows as u32 + 40);
    let root = SVGBackend::new(file, size).into_drawing_area();
    root.fill(&WHITE)?;
    let root = root.titled(title, ("sans-serif", 18))?;
    for (area, slope) in root.split_evenly((rows, COLUMNS)).iter().zip(slopes) {
        panel(area, slope)?;
    }
    root.present()?;
    Ok(())
}

fn panel(
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    slope: &Slope,
) -> anyhow::Result<()> {
    let most = |f: fn(&(f64, f64)) -> f64| slope.points.iter().map(f).fold(0.0, f64::max) * 1.1;
    let (x, y) = (most(|p| p.0), most(|p| p.1).max(1e-9));
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
