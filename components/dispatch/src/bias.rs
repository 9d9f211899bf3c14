//! How far predictions fall short, learned from requests that began.
//!
//! What arrives elsewhere at the same moment, or before an engine's next pass begins, is not known
//! when a request is sent, and delays it all the same. How much depends on the load.

/// Part of the requests that are to begin no later than predicted.
const TARGET_QUANTILE: f64 = 0.85;
/// Change with each request, in milliseconds.
const STEP_MS: f64 = 16.0;
/// Largest correction, in milliseconds.
const MAX_CORRECTION_MS: f64 = 160.0;

/// Follows a quantile of the error of predictions.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PredictionBias(f64);

impl PredictionBias {
    /// Time to add to a prediction, in milliseconds.
    pub fn correction_ms(self) -> f64 {
        self.0
    }

    /// A request began `error_ms` later than predicted.
    pub fn record_error(&mut self, error_ms: f64) {
        let change = if error_ms > self.0 { TARGET_QUANTILE } else { TARGET_QUANTILE - 1.0 };
        self.0 = (self.0 + change * STEP_MS).clamp(0.0, MAX_CORRECTION_MS);
    }
}

#[cfg(test)]
mod tests;
