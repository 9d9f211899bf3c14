//! Endpoints as the platform lists them.

use std::net::SocketAddr;

use base::{ServiceId, Zone, text_id};

use crate::HeldWeights;

text_id! {
    /// Names an endpoint; it may come back under the same name, knowing nothing of before.
    EndpointId
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes work.
    Ready,
    /// It leaves and gets no new work.
    Draining,
}

/// What an endpoint published of itself.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Its name.
    pub id: EndpointId,
    /// The service that it runs requests of.
    pub service: ServiceId,
    /// Where it listens.
    pub addr: SocketAddr,
    /// Its zone.
    pub zone: Zone,
    /// Requests that it runs at a time.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// When it started, in Unix milliseconds by its own clock; tells runs under one name apart.
    pub started_at_ms: Option<u64>,
    /// The weights that it held when it published this; empty for a plain service.
    pub held: Vec<HeldWeights>,
    /// Whether it has weights at all, as model engines do.
    pub serves_model: bool,
}

/// A change of the list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// An endpoint published something.
    Published(Endpoint),
    /// An endpoint is no longer listed, or what is listed names none that can be used.
    Removed(EndpointId),
}
