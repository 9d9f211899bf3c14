//! Timings and limits of the stager.

use std::time::Duration;

use crate::{FetchSettings, LoadSettings, ReportRates};

/// Timings and limits of the stager.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StagerSettings {
    /// Limits for fetching pieces.
    pub fetch: FetchSettings,
    /// Limits for when the endpoint may load new weights.
    pub load: LoadSettings,
    /// Time between queries of the endpoint's state.
    pub poll_interval: Duration,
    /// Timeout of a query of the endpoint's state.
    pub poll_timeout: Duration,
    /// Rates of state reports to gateways.
    pub report_rates: ReportRates,
    /// Minimum time between two fetches of the fleet from a gateway.
    pub fleet_interval: Duration,
    /// Time after its last subscription at which a gateway gets no more reports.
    pub subscription_timeout: Duration,
    /// Minimum time between inventory messages to neighbours, which are sent after each change.
    pub inventory_interval: Duration,
    /// Time between inventory messages while nothing changes.
    pub idle_inventory_interval: Duration,
    /// Maximum number of neighbours that get inventory messages.
    pub max_neighbours: usize,
    /// Time without a subscribed gateway after which the store is read.
    pub store_fallback_delay: Duration,
    /// Maximum time that a peer's request waits for a piece that has not arrived yet.
    pub piece_wait_timeout: Duration,
    /// Fraction of the VM's link bandwidth that uploads to peers may use.
    pub upload_fraction: f64,
    /// Timeout of a request to the endpoint, other than a state query.
    pub engine_timeout: Duration,
    /// Time between announcing a load to gateways and the load order.
    pub load_notice: Duration,
    /// Time after which a load that has not finished is no longer awaited but checked anew.
    pub load_timeout: Duration,
    /// Delay before a failed operation is retried.
    pub retry_delay: Duration,
}

impl Default for StagerSettings {
    fn default() -> StagerSettings {
        StagerSettings {
            fetch: FetchSettings::default(),
            load: LoadSettings::default(),
            poll_interval: Duration::from_millis(100),
            poll_timeout: Duration::from_millis(600),
            report_rates: ReportRates::default(),
            fleet_interval: Duration::from_millis(250),
            subscription_timeout: Duration::from_millis(3500),
            inventory_interval: Duration::from_millis(100),
            idle_inventory_interval: Duration::from_secs(1),
            max_neighbours: 12,
            store_fallback_delay: Duration::from_secs(3),
            piece_wait_timeout: Duration::from_millis(1500),
            upload_fraction: 0.92,
            engine_timeout: Duration::from_secs(2),
            load_notice: Duration::from_millis(30),
            load_timeout: Duration::from_secs(8),
            retry_delay: Duration::from_millis(200),
        }
    }
}
