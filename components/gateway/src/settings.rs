//! Timing and size limits of the gateway.

use std::time::Duration;

use dispatch::DispatchSettings;

/// Timing and size limits of the gateway.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct GatewaySettings {
    /// Settings of the dispatcher, which chooses endpoints.
    pub dispatch: DispatchSettings,
    /// Interval between requests for status reports from stagers.
    pub subscribe_interval: Duration,
    /// Time that a watch waits which is to show at once what the store has: after a stale read of the
    /// whole store, and the first one after a failure.
    pub catch_up_wait: Duration,
    /// Delay before datagrams are received again after a failure.
    pub receive_retry_delay: Duration,
    /// Minimum outage of the store after which endpoints whose entries expired get time to register
    /// again.
    pub store_outage_threshold: Duration,
    /// Fraction of the version bound, at its end, in which only the newest weights may be used. Without
    /// this margin a request that waits at an endpoint could start on older weights after the bound.
    pub version_margin_fraction: f64,
    /// Maximum size in bytes of a response that is buffered before it is forwarded.
    pub max_response_bytes: usize,
    /// Pause within a stream after which it is resumed at another endpoint.
    pub stream_silence_timeout: Duration,
    /// Time beyond the prediction after which a retryable request is sent to another endpoint.
    pub response_slack: Duration,
    /// Maximum interval between two checks of queued requests.
    pub poll_interval: Duration,
    /// Minimum interval between two checks of queued requests.
    pub min_poll_interval: Duration,
    /// Time after SIGTERM in which new connections are still accepted.
    pub shutdown_accept_time: Duration,
    /// Time before the end of the grace period at which the process ends in any case.
    pub grace_margin: Duration,
    /// Fraction of the process memory that request bodies may use.
    pub body_memory_fraction: f64,
    /// Fraction of the process memory that responses may use until their callers have read them.
    pub response_memory_fraction: f64,
    /// Maximum number of bytes of a stream that are held for a slow caller.
    pub max_stream_bytes: usize,
    /// Maximum number of bytes of a stream that are held for a slow caller while the memory for responses is
    /// used up.
    pub min_stream_bytes: usize,
    /// Maximum time for which an endpoint is not read for a slow caller, if another one can resume the stream
    /// later.
    pub max_held_back: Duration,
}

impl Default for GatewaySettings {
    fn default() -> GatewaySettings {
        GatewaySettings {
            dispatch: DispatchSettings::default(),
            subscribe_interval: Duration::from_secs(1),
            catch_up_wait: Duration::from_millis(1),
            receive_retry_delay: Duration::from_millis(300),
            store_outage_threshold: Duration::from_millis(1000),
            version_margin_fraction: 0.2,
            max_response_bytes: 4 << 20,
            stream_silence_timeout: Duration::from_millis(900),
            response_slack: Duration::from_millis(700),
            poll_interval: Duration::from_millis(15),
            min_poll_interval: Duration::from_millis(3),
            shutdown_accept_time: Duration::from_millis(2300),
            grace_margin: Duration::from_millis(600),
            body_memory_fraction: 0.25,
            response_memory_fraction: 0.25,
            max_stream_bytes: 256 << 10,
            min_stream_bytes: 16 << 10,
            max_held_back: Duration::from_secs(2),
        }
    }
}
