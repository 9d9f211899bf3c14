//! The way to another availability zone: how much later requests begin there than predicted, and how
//! many of them may be in flight.

use std::time::{Duration, Instant};

use crate::decay::remaining_fraction;

/// Time in which an estimate moves halfway back to its floor without new samples.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Fraction of a sample's distance to the estimate by which the estimate moves.
const GAIN: f64 = 0.2;
/// Maximum change of an estimate by one sample, in milliseconds. Bounds the weight of outliers.
const MAX_STEP_MS: f64 = 10.0;
/// Fraction of the objective above which the latency of a way shows that the way is congested.
const CONGESTED_FRACTION: f64 = 0.25;
/// Number of requests in flight at which a way counts as full for its cost. A window of this size does not
/// limit.
const MAX_WINDOW: f64 = 256.0;
/// Minimum number of requests in flight on a way, which keep its latency measured.
const MIN_WINDOW: f64 = 4.0;
/// Maximum fullness, for the cost of a way.
const MAX_FULLNESS: f64 = 2.0;
/// Factor by which a congested way's window shrinks.
const SHRINK_FACTOR: f64 = 0.7;
/// Growth of the window with each first event that arrives over an uncongested way.
const GROWTH: f64 = 0.25;
/// Minimum time between two reductions of a window, so that the first one has shown its effect.
const SHRINK_INTERVAL: Duration = Duration::from_millis(500);

/// Robust running mean of a prediction error, which ages to its floor.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ErrorEstimate {
    floor_ms: f64,
    value_ms: f64,
    updated_at: Option<Instant>,
}

impl ErrorEstimate {
    pub(crate) fn new(floor_ms: f64) -> ErrorEstimate {
        ErrorEstimate { floor_ms, value_ms: floor_ms, updated_at: None }
    }

    pub(crate) fn value_ms(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at else { return self.value_ms };
        let fraction = remaining_fraction(now.saturating_duration_since(at), HALF_LIFE);
        self.floor_ms + (self.value_ms - self.floor_ms) * fraction
    }

    pub(crate) fn record(&mut self, sample_ms: f64, now: Instant) {
        let value = self.value_ms(now);
        let step = ((sample_ms - value) * GAIN).clamp(-MAX_STEP_MS, MAX_STEP_MS);
        self.value_ms = (value + step).max(self.floor_ms);
        self.updated_at = Some(now);
    }
}

/// What a way can take now.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct WayState {
    /// The requests in flight as a fraction of those that the way takes, one more included.
    pub(crate) fullness: f64,
    /// Whether the way takes one more request.
    pub(crate) has_room: bool,
}

/// The way to one other availability zone.
#[derive(Debug, Clone)]
pub(crate) struct Way {
    latency: ErrorEstimate,
    /// Maximum number of this gateway's requests in flight in the zone.
    window: f64,
    shrunk_at: Option<Instant>,
}

impl Way {
    /// A way on which a round trip takes `round_trip` while it is empty.
    pub(crate) fn new(round_trip: Duration) -> Way {
        let latency = ErrorEstimate::new(round_trip.as_secs_f64() * 1e3);
        Way { latency, window: MAX_WINDOW, shrunk_at: None }
    }

    /// Time by which a request begins later over this way than in the own zone, in milliseconds.
    pub(crate) fn extra_ms(&self, now: Instant) -> f64 {
        self.latency.value_ms(now)
    }

    /// What the way can take with some requests in flight.
    pub(crate) fn state(&self, in_flight: usize) -> WayState {
        let fullness = ((in_flight as f64 + 1.0) / self.window).min(MAX_FULLNESS);
        // The largest window is no limit: the way has not been congested for long.
        WayState { fullness, has_room: fullness <= 1.0 || self.window >= MAX_WINDOW }
    }

    /// Records how much later than predicted a request began, with the requests in flight in the zone.
    pub(crate) fn record(
        &mut self,
        extra_ms: f64,
        objective: Duration,
        in_flight: usize,
        now: Instant,
    ) {
        self.latency.record(extra_ms, now);
        let limit_ms = objective.as_secs_f64() * 1e3 * CONGESTED_FRACTION;
        if self.extra_ms(now) <= limit_ms {
            self.window = (self.window + GROWTH).min(MAX_WINDOW);
            return;
        }
        let shrunk_lately =
            self.shrunk_at.is_some_and(|at| now.saturating_duration_since(at) < SHRINK_INTERVAL);
        if !shrunk_lately {
            let used = self.window.min(in_flight as f64);
            self.window = (used * SHRINK_FACTOR).max(MIN_WINDOW);
            self.shrunk_at = Some(now);
        }
    }
}
