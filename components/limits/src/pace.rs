//! How fast requests of a service pass.

use std::time::{Duration, Instant};

/// Weight of the newest request in the mean.
const NEWEST: f64 = 0.1;

/// Mean distances above the mean that few requests exceed.
const SPREADS: f64 = 6.0;

/// Requests of one service at endpoints, and the time that they take there.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    in_flight: u32,
    /// Mean seconds at an endpoint; `None` before the first answer.
    mean: Option<f64>,
    /// Mean distance of the times from the mean, in seconds.
    spread: f64,
    /// When a request last started or ended, or began to wait with none before it.
    progress: Instant,
}

impl Pace {
    /// No request yet.
    pub fn new(now: Instant) -> Pace {
        Pace { in_flight: 0, mean: None, spread: 0.0, progress: now }
    }

    /// Requests at endpoints.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// A request begins to wait, and none waited before.
    pub fn waits(&mut self, now: Instant) {
        self.progress = now;
    }

    /// A request went to an endpoint.
    pub fn started(&mut self, now: Instant) {
        self.in_flight += 1;
        self.progress = now;
    }

    /// A request left its endpoint; `took` is the time there if it was answered.
    pub fn ended(&mut self, took: Option<Duration>, now: Instant) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.progress = now;
        if let Some(took) = took {
            let took = took.as_secs_f64();
            let mean = self.mean.unwrap_or(took);
            self.mean = Some(mean + NEWEST * (took - mean));
            self.spread += NEWEST * ((took - mean).abs() - self.spread);
        }
    }

    /// Mean time at an endpoint.
    pub fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or(0.0))
    }

    /// Time at an endpoint that few requests exceed.
    pub fn safe_time(&self) -> Duration {
        Duration::from_secs_f64(self.mean.unwrap_or(0.0) + SPREADS * self.spread)
    }

    /// Requests a second that pass while the endpoints stay as busy as now; `None` if unknown.
    pub fn rate(&self) -> Option<f64> {
        let mean = self.mean.filter(|mean| *mean > 0.0)?;
        (self.in_flight > 0).then(|| f64::from(self.in_flight) / mean)
    }

    /// Whether nothing passes: no request is at an endpoint, and none started or ended for `time`.
    pub fn is_stalled(&self, time: Duration, now: Instant) -> bool {
        self.in_flight == 0 && now.saturating_duration_since(self.progress) >= time
    }
}
