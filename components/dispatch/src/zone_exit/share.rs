//! The share of the requests that may leave the availability zone although it is expected to serve
//! them in time. It moves in small steps, so that the load shifts without swinging.

use std::time::{Duration, Instant};

use fastrand::Rng;

/// Growth of the share by one step.
const STEP_UP: f64 = 0.06;
/// Decrease of the share by one step. It is slow, as a zone has capacity because requests leave it;
/// requests that gain nothing from leaving stay in any case.
const STEP_DOWN: f64 = 0.02;
/// Mean time between two steps.
const STEP_INTERVAL: Duration = Duration::from_millis(250);
/// Largest deviation from `STEP_INTERVAL` as a fraction of it. Gateways that see the same reports
/// do not move in step.
const INTERVAL_SPREAD: f64 = 0.4;
/// Weight of a new sample in a running fraction.
const SAMPLE_WEIGHT: f64 = 1.0 / 16.0;
/// Fraction of late requests above which a zone misses its objectives.
const MISSED_FRACTION: f64 = 0.05;
/// Late requests of other zones as a fraction of those of this zone up to which the share grows.
const GAIN_FRACTION: f64 = 0.5;
/// Late requests of other zones as a fraction of those of this zone from which the share falls.
const LOSS_FRACTION: f64 = 0.8;
/// Fraction of the requests for which the zone has plenty of capacity above which the share falls.
const FREE_FRACTION: f64 = 0.9;
/// Fraction that is left of the late requests of other zones after a step without new samples, so
/// that other zones are tried again.
const FORGETTING_FACTOR: f64 = 0.9;
/// Shortest and longest time for which the zone must have had capacity before the share falls.
const MIN_DWELL: Duration = Duration::from_millis(400);
const MAX_DWELL: Duration = Duration::from_millis(900);
/// Time without any request after which the share is outdated.
const MEMORY_TIME: Duration = Duration::from_secs(5);

/// Running fraction of the events for which something holds.
#[derive(Debug, Default, Clone, Copy)]
struct Fraction(f64);

impl Fraction {
    fn record(&mut self, holds: bool) {
        let sample = if holds { 1.0 } else { 0.0 };
        self.0 += SAMPLE_WEIGHT * (sample - self.0);
    }
}

/// The share, and what it depends on.
#[derive(Debug, Clone, Default)]
pub(crate) struct ExitShare {
    share: f64,
    /// Late requests at this zone's endpoints.
    local_misses: Fraction,
    /// Late requests at the endpoints of other zones.
    away_misses: Fraction,
    /// Requests for which this zone had plenty of capacity.
    local_free: Fraction,
    /// When the next step is due; `None` before the first request.
    step_at: Option<Instant>,
    /// The zone has capacity; the share falls from this time on.
    falls_from: Option<Instant>,
}

impl ExitShare {
    /// Fraction of the requests that may leave, from 0 to 1.
    pub(crate) fn get(&self) -> f64 {
        self.share
    }

    /// Records whether a request began later than its objective at this zone's endpoints or, if it
    /// left, at others.
    pub(crate) fn record_start(&mut self, is_away: bool, is_late: bool) {
        let misses = if is_away { &mut self.away_misses } else { &mut self.local_misses };
        misses.record(is_late);
    }

    /// Records whether this zone has plenty of capacity for a new request, and moves the share when a
    /// step is due.
    pub(crate) fn record_request(&mut self, is_free: bool, now: Instant, rng: &mut Rng) {
        let due = *self.step_at.get_or_insert_with(|| now + step_interval(rng));
        if now.saturating_duration_since(due) > MEMORY_TIME {
            *self = ExitShare::default();
        } else if now >= due {
            self.step(now, rng);
            self.step_at = Some(now + step_interval(rng));
        }
        self.local_free.record(is_free);
    }

    fn step(&mut self, now: Instant, rng: &mut Rng) {
        let (local, away) = (self.local_misses.0, self.away_misses.0);
        self.away_misses.0 *= FORGETTING_FACTOR;
        let is_free = self.local_free.0 > FREE_FRACTION;
        if !is_free {
            self.falls_from = None;
        }
        if away > MISSED_FRACTION && away >= local * LOSS_FRACTION {
            self.share -= STEP_UP;
        } else if is_free {
            let dwell = MIN_DWELL + (MAX_DWELL - MIN_DWELL).mul_f64(rng.f64());
            if now >= *self.falls_from.get_or_insert(now + dwell) {
                self.share -= STEP_DOWN;
            }
        } else if local > MISSED_FRACTION && away <= local * GAIN_FRACTION {
            self.share += STEP_UP;
        }
        self.share = self.share.clamp(0.0, 1.0);
    }
}

fn step_interval(rng: &mut Rng) -> Duration {
    STEP_INTERVAL.mul_f64(1.0 + INTERVAL_SPREAD * (2.0 * rng.f64() - 1.0))
}
