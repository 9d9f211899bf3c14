//! Bounds of the process.

use std::time::Duration;

use dispatch::DispatchSettings;

/// Bounds of the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewaySettings {
    /// Weights and bounds of the choice of endpoints.
    pub dispatch: DispatchSettings,
    /// Time between requests for reports from agents.
    pub subscribe_interval: Duration,
    /// Pause between two watches of the store, in which changes collect.
    pub store_watch_pause: Duration,
    /// Pause after a read of the store that failed.
    pub store_retry_delay: Duration,
    /// Time for which the store must have been away before lapsed endpoints get time to come back.
    pub store_outage_threshold: Duration,
    /// Part of the bound, at its end, in which only the newest weights may answer, as a request can
    /// wait at an endpoint before it begins.
    pub version_margin_fraction: f64,
    /// Most bytes of an answer that is collected before it is passed on.
    pub max_response_bytes: usize,
    /// Pause within a stream after which another endpoint goes on with it.
    pub stream_silence_timeout: Duration,
    /// Time beyond what was predicted after which a repeatable request is sent elsewhere.
    pub response_slack: Duration,
    /// Longest time between two looks at requests that wait.
    pub poll_interval: Duration,
    /// Time after SIGTERM in which new connections are still accepted.
    pub shutdown_accept_time: Duration,
    /// Time before the end of the grace period at which the process ends in any case.
    pub grace_margin: Duration,
    /// Part of the memory that bodies of requests may take.
    pub body_memory_fraction: f64,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            dispatch: DispatchSettings::default(),
            subscribe_interval: Duration::from_secs(1),
            store_watch_pause: Duration::from_millis(300),
            store_retry_delay: Duration::from_millis(300),
            store_outage_threshold: Duration::from_millis(1000),
            version_margin_fraction: 0.2,
            max_response_bytes: 4 << 20,
            stream_silence_timeout: Duration::from_millis(900),
            response_slack: Duration::from_millis(700),
            poll_interval: Duration::from_millis(15),
            shutdown_accept_time: Duration::from_millis(2300),
            grace_margin: Duration::from_millis(600),
            body_memory_fraction: 0.25,
        }
    }
}
