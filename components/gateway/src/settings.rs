//! Bounds of the process.

use std::time::Duration;

use dispatch::DispatchSettings;

/// Bounds of the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewaySettings {
    /// Weights and bounds of the choice of endpoints.
    pub dispatch: DispatchSettings,
    /// Time between requests for reports from agents.
    pub subscribe_every: Duration,
    /// Pause between two watches of the store, in which changes collect.
    pub store_pause: Duration,
    /// Pause after a read of the store that failed.
    pub store_retry: Duration,
    /// Time for which the store must have been away before lapsed endpoints get time to come back.
    pub store_away: Duration,
    /// Part of the bound, at its end, in which only the newest weights may answer, as a request can
    /// wait at an endpoint before it begins.
    pub version_part: f64,
    /// Most bytes of an answer that is collected before it is passed on.
    pub answer_bytes: usize,
    /// Pause within a stream after which another endpoint goes on with it.
    pub silence: Duration,
    /// Time beyond what was predicted after which a repeatable request is sent elsewhere.
    pub patience: Duration,
    /// Longest time between two looks at requests that wait.
    pub poll_every: Duration,
    /// Time after SIGTERM in which new connections are still accepted.
    pub leave_notice: Duration,
    /// Time before the end of the grace period at which the process ends in any case.
    pub grace_margin: Duration,
    /// Part of the memory that bodies of requests may take.
    pub body_part: f64,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            dispatch: DispatchSettings::default(),
            subscribe_every: Duration::from_secs(1),
            store_pause: Duration::from_millis(300),
            store_retry: Duration::from_millis(300),
            store_away: Duration::from_millis(1000),
            version_part: 0.2,
            answer_bytes: 4 << 20,
            silence: Duration::from_millis(900),
            patience: Duration::from_millis(700),
            poll_every: Duration::from_millis(15),
            leave_notice: Duration::from_millis(2300),
            grace_margin: Duration::from_millis(600),
            body_part: 0.25,
        }
    }
}
