//! Bounds of the process.

use std::time::Duration;

use crate::{SpreadSettings, TurnSettings};

/// Bounds of the process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StagerSettings {
    /// Bounds of fetching pieces.
    pub spread: SpreadSettings,
    /// When the endpoint may load new weights.
    pub turn: TurnSettings,
    /// Time between questions to the endpoint.
    pub report_every: Duration,
    /// Longest wait for the endpoint's report.
    pub report_timeout: Duration,
    /// Time between reports to entries of the same zone.
    pub near_every: Duration,
    /// Time between reports to entries of other zones.
    pub far_every: Duration,
    /// Time without being asked after which an entry gets no more reports.
    pub subscription: Duration,
    /// Time between statements to neighbours of what is held, and after each change.
    pub holding_every: Duration,
    /// The same while nothing changes.
    pub idle_holding_every: Duration,
    /// Neighbours that are told, at most.
    pub neighbours: usize,
    /// Time without an entry after which the store is read.
    pub store_after: Duration,
    /// Longest time that a peer's question for a piece waits until it is there.
    pub hold: Duration,
    /// Part of the VM's link that pieces for peers may take.
    pub upload_part: f64,
    /// Longest time for a call to the own endpoint.
    pub engine_timeout: Duration,
    /// Time between telling entries of a load and the order to load.
    pub notice: Duration,
    /// Time after which an order that has not ended is looked at again.
    pub order_patience: Duration,
    /// Pause after something failed.
    pub retry: Duration,
}

impl Default for StagerSettings {
    fn default() -> StagerSettings {
        StagerSettings {
            spread: SpreadSettings::default(),
            turn: TurnSettings::default(),
            report_every: Duration::from_millis(100),
            report_timeout: Duration::from_millis(600),
            near_every: Duration::from_millis(100),
            far_every: Duration::from_millis(600),
            subscription: Duration::from_millis(3500),
            holding_every: Duration::from_millis(100),
            idle_holding_every: Duration::from_secs(1),
            neighbours: 12,
            store_after: Duration::from_secs(3),
            hold: Duration::from_millis(1500),
            upload_part: 0.92,
            engine_timeout: Duration::from_secs(2),
            notice: Duration::from_millis(30),
            order_patience: Duration::from_secs(8),
            retry: Duration::from_millis(200),
        }
    }
}
