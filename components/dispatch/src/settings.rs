//! Weights and limits used to select endpoints.

use std::{net::Ipv4Addr, time::Duration};

use crate::{ColdSettings, RetrySettings, SubsetSettings};

/// Weights and limits used to select endpoints.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DispatchSettings {
    /// The address of this gateway, by which the others know it.
    pub own_ip: Ipv4Addr,
    /// Fraction of the objective after which a request that waits for an endpoint is refused.
    pub max_wait_fraction: f64,
    /// Fraction of the objective that a prediction may use up.
    pub objective_fraction: f64,
    /// Fraction of the maximum event gap that a pass may take.
    pub event_gap_fraction: f64,
    /// Network time to the caller and back.
    pub caller_round_trip: Duration,
    /// Time by which an endpoint in another zone must be faster to be chosen.
    pub cross_zone_cost: Duration,
    /// Additional time by which an endpoint in another region must be faster to be chosen.
    pub cross_region_cost: Duration,
    /// Time by which an endpoint that other gateways of the zone prefer must be faster to be
    /// chosen.
    pub shared_cost: Duration,
    /// Fraction of an engine's slots up to which it takes requests that will miss their objective.
    pub late_slot_fraction: f64,
    /// Age from which an agent's report is ignored.
    pub max_report_age: Duration,
    /// Minimum retry-after time sent to callers.
    pub min_retry_after: Duration,
    /// Maximum retry-after time sent to callers.
    pub max_retry_after: Duration,
    /// Maximum retry-after time while all endpoints of a service asked to be sent nothing.
    pub max_backoff_retry: Duration,
    /// Retry-after time while the zones of all endpoints that could take a request are evacuated.
    pub evacuation_retry: Duration,
    /// Maximum number of requests that wait for an endpoint, over all services.
    pub max_waiting: usize,
    /// Limits of retries.
    pub retries: RetrySettings,
    /// How the requests that cold endpoints bear are divided among the gateways.
    pub cold: ColdSettings,
    /// Limits of the engines that are followed.
    pub subset: SubsetSettings,
    /// Time for which endpoints that disappeared while the store was unreachable are kept.
    pub relist_grace: Duration,
}

impl Default for DispatchSettings {
    fn default() -> DispatchSettings {
        DispatchSettings {
            own_ip: Ipv4Addr::UNSPECIFIED,
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
            max_backoff_retry: Duration::from_secs(30),
            evacuation_retry: Duration::from_secs(5),
            max_waiting: 256,
            retries: RetrySettings::default(),
            cold: ColdSettings::default(),
            subset: SubsetSettings::default(),
            relist_grace: Duration::from_secs(2),
        }
    }
}
