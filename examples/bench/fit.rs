//! Straight lines through measured points.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares to what was measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// What was measured.
    pub name: String,
    /// Unit of the measured values.
    pub unit: String,
    /// What the sizes count.
    pub per: String,
    /// Value for each one more.
    pub slope: f64,
    /// Value at size 0.
    pub base: f64,
    /// Root mean square of the distances from the line over the mean value.
    pub residual: f64,
    /// Sizes and values.
    pub points: Vec<(f64, f64)>,
}

/// Fits a line through `points`, at least two of them with different sizes.
pub fn fit(name: &str, unit: &str, per: &str, points: Vec<(f64, f64)>) -> Slope {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let spread: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / spread;
    let base = y - slope * x;
    let squares: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    let residual = (squares / n).sqrt() / y.abs().max(f64::MIN_POSITIVE);
    let (name, unit, per) = (name.to_owned(), unit.to_owned(), per.to_owned());
    Slope { name, unit, per, slope, base, residual, points }
}
