//! The budget of repeats: sending a request to a second endpoint draws on what all entries share.
//! Each entry uses its part only, so that the sum holds while entries do not hear of each other.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::ServiceId;

/// Bounds of repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetrySettings {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of a window over all entries, besides the ratio.
    pub extra: f64,
    /// The window.
    pub window: Duration,
    /// Part of the bound that is used, for what entries count differently.
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

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

/// The repeats that this entry may still make.
#[derive(Debug)]
pub struct RetryBudget {
    settings: RetrySettings,
    /// Entries that share the budget, at least this one.
    gateways: u32,
    services: HashMap<ServiceId, Counts>,
}

fn drop_expired(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) >= window) {
        times.pop_front();
    }
}

impl RetryBudget {
    /// The budget of the only entry.
    pub fn new(settings: RetrySettings) -> RetryBudget {
        RetryBudget { settings, gateways: 1, services: HashMap::new() }
    }

    /// The number of entries that share the budget.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Replaces the bounds.
    pub fn set_settings(&mut self, settings: RetrySettings) {
        self.settings = settings;
    }

    /// A request for the service arrived.
    pub fn record_request(&mut self, service: &ServiceId, now: Instant) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, window, now);
        counts.requests.push_back(now);
    }

    /// Takes one repeat; returns false if none is left.
    pub fn try_take(&mut self, service: &ServiceId, now: Instant) -> bool {
        let RetrySettings { ratio, extra, window, used_fraction: part } = self.settings;
        let counts = self.services.entry(service.clone()).or_default();
        drop_expired(&mut counts.requests, window, now);
        drop_expired(&mut counts.retries, window, now);
        let allowed = ratio * counts.requests.len() as f64 + extra / f64::from(self.gateways);
        if counts.retries.len() as f64 + 1.0 > allowed * part {
            return false;
        }
        counts.retries.push_back(now);
        true
    }
}

#[cfg(test)]
mod tests;
