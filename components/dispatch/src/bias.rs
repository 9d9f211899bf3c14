//! Correction of predictions that are too optimistic, learned from the measured time to the first
//! event.
//!
//! Requests that other gateways send at the same moment, or that arrive before an engine's next
//! pass begins, are unknown when a request is sent, but delay it all the same. How much depends on
//! the load.

/// Fraction of the requests that should start no later than predicted.
const TARGET_QUANTILE: f64 = 0.85;
/// Step size of the correction for each request, in milliseconds.
const STEP_MS: f64 = 16.0;
/// Maximum correction, in milliseconds.
const MAX_CORRECTION_MS: f64 = 160.0;

/// Running estimate of a quantile of the prediction error.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PredictionBias(f64);

impl PredictionBias {
    /// Time to add to a prediction, in milliseconds.
    pub fn correction_ms(self) -> f64 {
        self.0
    }

    /// Records that a request started `error_ms` later than predicted.
    pub fn record_error(&mut self, error_ms: f64) {
        let change = if error_ms > self.0 { TARGET_QUANTILE } else { TARGET_QUANTILE - 1.0 };
        self.0 = (self.0 + change * STEP_MS).clamp(0.0, MAX_CORRECTION_MS);
    }
}

#[cfg(test)]
mod tests;
