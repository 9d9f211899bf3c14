//! Weights and bounds of the decisions.

use std::time::Duration;

use crate::RepeatSettings;

/// Weights and bounds of the decisions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatchSettings {
    /// Part of the objective after which a request that waits for an endpoint is refused.
    pub wait_part: f64,
    /// Part of the objective that a prediction may use up.
    pub objective_part: f64,
    /// Part of the longest pause between events that a pass may last.
    pub gap_part: f64,
    /// Time on the way to the caller and back.
    pub caller_delay: Duration,
    /// Time that an endpoint in another zone must be faster by.
    pub zone_cost: Duration,
    /// Time that an endpoint in another region must be faster by, besides.
    pub region_cost: Duration,
    /// Time that an endpoint which other entries of the zone send requests to must be faster by.
    pub shared_cost: Duration,
    /// Part of an engine's slots up to which requests that will be late are taken.
    pub late_part: f64,
    /// Age from which an agent's report no longer counts.
    pub report_life: Duration,
    /// Shortest time that callers are told to wait.
    pub least_retry_after: Duration,
    /// Longest time that callers are told to wait.
    pub most_retry_after: Duration,
    /// Most requests that wait for endpoints of one service.
    pub queue: usize,
    /// Bounds of repeats.
    pub repeats: RepeatSettings,
    /// Time for which endpoints that vanished while the store was away are kept.
    pub relist: Duration,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            wait_part: 0.5,
            objective_part: 0.95,
            gap_part: 0.8,
            caller_delay: Duration::from_millis(10),
            zone_cost: Duration::from_millis(60),
            region_cost: Duration::from_millis(40),
            shared_cost: Duration::from_millis(60),
            late_part: 0.75,
            report_life: Duration::from_millis(1500),
            least_retry_after: Duration::from_millis(200),
            most_retry_after: Duration::from_secs(2),
            queue: 256,
            repeats: RepeatSettings::default(),
            relist: Duration::from_secs(2),
        }
    }
}
