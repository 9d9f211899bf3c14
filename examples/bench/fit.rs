//! Linear least-squares fits of measured values.

use serde::{Deserialize, Serialize};

/// A line fitted by least squares to values measured at several sizes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Slope {
    /// Name of the measured quantity.
    pub name: String,
    /// Unit of the measured values.
    pub unit: String,
    /// Name of the item that the sizes count.
    pub per: String,
    /// Increase of the value per item.
    pub slope: f64,
    /// Value at size 0.
    pub base: f64,
    /// Root mean square error of the fit, relative to the mean value.
    pub residual: f64,
    /// Measured points as (size, value).
    pub points: Vec<(f64, f64)>,
}

/// Fits a line through `points`, which need at least two different sizes.
pub fn fit(name: &str, unit: &str, per: &str, points: Vec<(f64, f64)>) -> Slope {
    let n = points.len() as f64;
    let mean = |f: fn(&(f64, f64)) -> f64| points.iter().map(f).sum::<f64>() / n;
    let (x, y) = (mean(|p| p.0), mean(|p| p.1));
    let squared_deviation: f64 = points.iter().map(|p| (p.0 - x).powi(2)).sum();
    let slope = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum::<f64>() / squared_deviation;
    let base = y - slope * x;
    let squared_error: f64 = points.iter().map(|p| (p.1 - base - slope * p.0).powi(2)).sum();
    let residual = (squared_error / n).sqrt() / y.abs().max(f64::MIN_POSITIVE);
    let (name, unit, per) = (name.to_owned(), unit.to_owned(), per.to_owned());
    Slope { name, unit, per, slope, base, residual, points }
}
