//! Service times and throughput of a service's requests.

use std::time::{Duration, Instant};

/// Weight of the newest request in the moving averages.
const EWMA_WEIGHT: f64 = 0.1;

/// Number of mean deviations above the mean that few requests exceed.
const SAFETY_DEVIATIONS: f64 = 6.0;

/// Tracks the requests of one service at endpoints and the time that they take there.
#[derive(Debug, Clone, Copy)]
pub struct ServiceTimeEstimator {
    in_flight: u32,
    /// Moving average of the seconds at an endpoint; `None` before the first answer.
    mean_seconds: Option<f64>,
    /// Moving average of the absolute deviation from the mean, in seconds.
    mean_deviation: f64,
    /// When a request last started or ended, or started to wait while no other was waiting.
    last_progress: Instant,
}

impl ServiceTimeEstimator {
    /// Creates an estimator without requests.
    pub fn new(now: Instant) -> ServiceTimeEstimator {
        ServiceTimeEstimator {
            in_flight: 0,
            mean_seconds: None,
            mean_deviation: 0.0,
            last_progress: now,
        }
    }

    /// Number of requests at endpoints.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records that a request starts to wait while no other is waiting.
    pub fn record_wait_start(&mut self, now: Instant) {
        self.last_progress = now;
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_start(&mut self, now: Instant) {
        self.in_flight += 1;
        self.last_progress = now;
    }

    /// Records that a request left its endpoint; `took` is the time there if it was answered.
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

    /// Throughput in requests per second while the endpoints stay as busy as now; `None` if
    /// unknown.
    pub fn rate(&self) -> Option<f64> {
        let mean = self.mean_seconds.filter(|mean| *mean > 0.0)?;
        (self.in_flight > 0).then(|| f64::from(self.in_flight) / mean)
    }

    /// Whether the service makes no progress: no request is at an endpoint, and none started or
    /// ended for `timeout`.
    pub fn is_stalled(&self, timeout: Duration, now: Instant) -> bool {
        self.in_flight == 0 && now.saturating_duration_since(self.last_progress) >= timeout
    }
}
