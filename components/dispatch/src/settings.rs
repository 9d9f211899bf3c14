//! Weights and bounds of the decisions.

use std::time::Duration;

use crate::RetrySettings;

/// Weights and bounds of the decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatchSettings {
    /// Part of the objective after which a request that waits for an endpoint is refused.
    pub max_wait_fraction: f64,
    /// Part of the objective that a prediction may use up.
    pub objective_fraction: f64,
    /// Part of the longest pause between events that a pass may last.
    pub event_gap_fraction: f64,
    /// Time on the way to the caller and back.
    pub caller_round_trip: Duration,
    /// Time that an endpoint in another zone must be faster by.
    pub cross_zone_cost: Duration,
    /// Time that an endpoint in another region must be faster by, besides.
    pub cross_region_cost: Duration,
    /// Time that an endpoint which other entries of the zone send requests to must be faster by.
    pub shared_cost: Duration,
    /// Part of an engine's slots up to which requests that will be late are taken.
    pub late_slot_fraction: f64,
    /// Age from which an agent's report no longer counts.
    pub max_report_age: Duration,
    /// Shortest time that callers are told to wait.
    pub min_retry_after: Duration,
    /// Longest time that callers are told to wait.
    pub max_retry_after: Duration,
    /// Most requests that wait for endpoints of one service.
    pub max_waiting: usize,
    /// Bounds of repeats.
    pub retries: RetrySettings,
    /// Time for which endpoints that vanished while the store was away are kept.
    pub relist_grace: Duration,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            max_wait_fraction: 0.5,
            objective_fraction: 0.95,
            event_gap_fraction: 0.8,
            caller_round_trip: Duration::from_millis(10),
            cross_zone_cost: Duration::from_millis(60),
            cross_region_cost: Duration::from_millis(40),
            shared_cost: Duration::from_millis(60),
            late_slot_fraction: 0.75,
            max_report_age: Duration::from_millis(1500),
            min_retry_after: Duration::from_millis(200),
            max_retry_after: Duration::from_secs(2),
            max_waiting: 256,
            retries: RetrySettings::default(),
            relist_grace: Duration::from_secs(2),
        }
    }
}
