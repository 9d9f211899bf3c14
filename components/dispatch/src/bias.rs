//! Correction of predictions that are too optimistic, learned from the measured time to the first
//! event.
//!
//! Requests that other gateways send at the same moment, or that arrive before an engine's next
//! pass begins, are unknown when a request is sent, but delay it all the same. How much depends on
//! the load, and on how early this gateway learns of it.

use std::time::{Duration, Instant};

use crate::decay::remaining_fraction;

/// Fraction of the requests that should start no later than predicted.
const TARGET_QUANTILE: f64 = 0.85;
/// Step size of the correction for each request, in milliseconds.
const STEP_MS: f64 = 16.0;
/// Maximum correction for endpoints whose state this gateway learns first, in milliseconds.
const MAX_CORRECTION_MS: f64 = 160.0;
/// Maximum correction for endpoints that other gateways prefer, in milliseconds.
const MAX_SHARED_CORRECTION_MS: f64 = 640.0;
/// Weight of an error by which a request to such an endpoint starts later than the correction allows.
const SHARED_ERROR_WEIGHT: f64 = 0.2;
/// Time in which a correction for such endpoints loses half of its value while no request is sent to them.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// How a gateway is related to an endpoint, which decides how early it learns of the load there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Relation {
    /// The gateway is one of those that send requests to the endpoint first, in whatever zone it is. Assumed
    /// for an endpoint of the own zone without a recent report.
    Preferred,
    /// Other gateways of the endpoint's zone send requests to it first.
    SameZone,
    /// The endpoint is in another zone, and this gateway is not one of those that it prefers.
    OtherZone,
}

impl Relation {
    /// All relations, in the order of their discriminants.
    pub const ALL: [Relation; 3] = [Relation::Preferred, Relation::SameZone, Relation::OtherZone];
}

/// Running estimate of a high quantile of the prediction error.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PredictionBias {
    correction_ms: f64,
    /// When it was last learned, if its weight falls with time.
    learned_at: Option<Instant>,
}

impl PredictionBias {
    /// Time to add to a prediction, in milliseconds.
    pub fn correction_ms(self, now: Instant) -> f64 {
        let age = self.learned_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.correction_ms * remaining_fraction(age, HALF_LIFE)
    }

    /// Records that a request started `error_ms` later than predicted.
    pub fn record_error(&mut self, relation: Relation, error_ms: f64, now: Instant) {
        let current = self.correction_ms(now);
        let direction = if error_ms > current { TARGET_QUANTILE } else { TARGET_QUANTILE - 1.0 };
        let step = direction * STEP_MS;
        let (max, step, learned_at) = match relation {
            Relation::Preferred => (MAX_CORRECTION_MS, step, None),
            // Few requests are sent there, so each of them has to tell more.
            Relation::SameZone | Relation::OtherZone => {
                let error_ms = error_ms.min(MAX_SHARED_CORRECTION_MS);
                let step = step.max((error_ms - current) * SHARED_ERROR_WEIGHT);
                (MAX_SHARED_CORRECTION_MS, step, Some(now))
            }
        };
        self.correction_ms = (current + step).clamp(0.0, max);
        self.learned_at = learned_at;
    }
}

#[cfg(test)]
mod tests;
