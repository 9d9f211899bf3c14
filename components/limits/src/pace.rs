//! How fast requests of a service pass.

use std::time::{Duration, Instant};

/// Weight of the newest request in the mean.
const EWMA_WEIGHT: f64 = 0.1;

/// Mean distances above the mean that few requests exceed.
const SAFETY_DEVIATIONS: f64 = 6.0;

/// Requests of one service at endpoints, and the time that they take there.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimeEstimator {
    in_flight: u32,
    /// Mean seconds at an endpoint; `None` before the first answer.
    mean_seconds: Option<f64>,
    /// Mean distance of the times from the mean, in seconds.
    mean_deviation: f64,
    /// When a request last started or ended, or began to wait with none before it.
    last_progress: Instant,
}

impl ServiceTimeEstimator {
    /// No request yet.
    pub fn new(now: Instant) -> ServiceTimeEstimator {
        ServiceTimeEstimator {
            in_flight: 0,
            mean_seconds: None,
            mean_deviation: 0.0,
            last_progress: now,
        }
    }

    /// Requests at endpoints.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// A request begins to wait, and none waited before.
    pub fn record_wait_start(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// A request went to an endpoint.
    pub fn record_start(&mut self, now: Instant) {
        self.in_flight += 1;
        self.last_progress = now;
    }

    /// A request left its endpoint; `took` is the time there if it was answered.
    pub fn record_end(&mut self, took: Option<Duration>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_progress = now;
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let mean = self.mean_seconds.unwrap_or(took);
            self.mean_seconds = Some(mean + EWMA_WEIGHT * (took - mean));
            self.mean_deviation += EWMA_WEIGHT * ((took - mean).abs() - self.mean_deviation);
        }
    }

    /// Mean time at an endpoint.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean_seconds.unwrap_or(0.0))
    }

    /// Time at an endpoint that few requests exceed.
    pub fn conservative_time(&self) -> Duration {
        Duration::from_secs_f64(
            self.mean_seconds.unwrap_or(0.0) + SAFETY_DEVIATIONS * self.mean_deviation,
        )
    }

    /// Requests a second that pass while the endpoints stay as busy as now; `None` if unknown.
    pub fn rate(&self) -> Option<f64> {
        let mean = self.mean_seconds.filter(|mean| *mean > 0.0)?;
        (self.in_flight > 0).then(|| f64::from(self.in_flight) / mean)
    }

    /// Whether nothing passes: no request is at an endpoint, and none started or ended for `time`.
    pub fn is_stalled(&self, time: Duration, now: Instant) -> bool {
        self.in_flight == 0 && now.saturating_duration_since(self.last_progress) >= time
    }
}
