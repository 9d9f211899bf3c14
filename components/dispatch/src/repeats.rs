//! The budget of repeats: sending a request to a second endpoint draws on what all entries share.
//! Each entry uses its part only, so that the sum holds while entries do not hear of each other.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::ServiceId;

/// Bounds of repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RepeatSettings {
    /// Repeats for each request of the window.
    pub ratio: f64,
    /// Repeats of a window over all entries, besides the ratio.
    pub extra: f64,
    /// The window.
    pub window: Duration,
    /// Part of the bound that is used, for what entries count differently.
    pub part: f64,
}

impl Default for RepeatSettings {
    fn default() -> RepeatSettings {
        RepeatSettings { ratio: 0.1, extra: 10.0, window: Duration::from_secs(10), part: 0.7 }
    }
}

#[derive(Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

/// The repeats that this entry may still make.
#[derive(Debug)]
pub struct RepeatBudget {
    settings: RepeatSettings,
    /// Entries that share the budget, at least this one.
    entries: u32,
    services: HashMap<ServiceId, Counts>,
}

fn forget(times: &mut VecDeque<Instant>, window: Duration, now: Instant) {
    while times.front().is_some_and(|&at| now.saturating_duration_since(at) >= window) {
        times.pop_front();
    }
}

impl RepeatBudget {
    /// The budget of the only entry.
    pub fn new(settings: RepeatSettings) -> RepeatBudget {
        RepeatBudget { settings, entries: 1, services: HashMap::new() }
    }

    /// The number of entries that share the budget.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Replaces the bounds.
    pub fn set(&mut self, settings: RepeatSettings) {
        self.settings = settings;
    }

    /// A request for the service arrived.
    pub fn arrived(&mut self, service: &ServiceId, now: Instant) {
        let window = self.settings.window;
        let counts = self.services.entry(service.clone()).or_default();
        forget(&mut counts.requests, window, now);
        counts.requests.push_back(now);
    }

    /// Takes one repeat; returns false if none is left.
    pub fn take(&mut self, service: &ServiceId, now: Instant) -> bool {
        let RepeatSettings { ratio, extra, window, part } = self.settings;
        let counts = self.services.entry(service.clone()).or_default();
        forget(&mut counts.requests, window, now);
        forget(&mut counts.repeats, window, now);
        let allowed = ratio * counts.requests.len() as f64 + extra / f64::from(self.entries);
        if counts.repeats.len() as f64 + 1.0 > allowed * part {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }
}

#[cfg(test)]
mod tests;
