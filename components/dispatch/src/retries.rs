//! The retry budget: sending a request to a second endpoint counts against a limit that all
//! gateways share. Each gateway uses only its own fraction, so the sum stays within the limit
//! although gateways do not exchange their counts.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::ServiceId;

/// Limits of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Retries allowed for each request of the window.
    pub ratio: f64,
    /// Retries allowed in a window over all gateways, in addition to the ratio.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Fraction of the limit that is used; the margin absorbs differences between the gateways'
    /// counts.
    pub used_fraction: f64,
}

impl Default for RetrySettings {
    fn default() -> RetrySettings {
        RetrySettings {
            ratio: 0.1,
            extra: 10.0,
            window: Duration::from_secs(10),
            used_fraction: 0.7,
        }
    }
}

#[derive(Debug, Clone, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// Counts the retries of this gateway against its fraction of the shared limit.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Number of gateways that share the budget, at least 1.
    gateways: u32,
    services: HashMap<ServiceId, Counts>,
}

fn drop_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) >= window) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// Creates the budget of a single gateway.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, gateways: 1, services: HashMap::new() }
    }

    /// Sets the number of gateways that share the budget.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Number of gateways that share the budget, at least 1.
    pub fn gateways(&self) -> u32 {
        self.gateways
    }

    /// Replaces the limits.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// Records that a request for the service arrived.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, window, now);
        counts.requests.push_back(now);
    }

    /// Takes one retry from the budget; returns false if none is left.
    pub fn try_take(&mut self, service: &ServiceId, now: Instant) -> bool {
        let RetrySettings { ratio, extra, window, used_fraction } = self.settings;
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, window, now);
        drop_expired(&mut counts.retries, window, now);
        let allowed = ratio * counts.requests.len() as f64 + extra / f64::from(self.gateways);
        if counts.retries.len() as f64 + 1.0 > allowed * used_fraction {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    /// Gives back a retry that was taken at `taken_at` and not made.
    pub fn give_back(&mut self, service: &ServiceId, taken_at: Instant) {
        let Some(counts) = self.services.get_mut(service) else { return };
        if let Some(index) = counts.retries.iter().rposition(|at| *at == taken_at) {
            counts.retries.remove(index);
        }
    }
}

#[cfg(test)]
mod tests;
