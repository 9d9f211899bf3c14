//! Endpoints as they are registered in the platform's store.

use std::{net::SocketAddr, time::Duration};

use base::{ServiceId, Zone, text_id};

use crate::HeldWeights;

text_id! {
    /// Name of an endpoint. A restarted endpoint reuses its name but keeps no state.
    EndpointId
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndpointState {
    /// Accepts new requests.
    Ready,
    /// Shutting down: accepts no new requests.
    Draining,
}

/// An endpoint's own entry in the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Endpoint {
    /// Name of the endpoint.
    pub id: EndpointId,
    /// Service whose requests it runs.
    pub service: ServiceId,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Availability zone of its VM.
    pub zone: Zone,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub state: EndpointState,
    /// Start time in Unix milliseconds by the endpoint's own clock. Distinguishes runs that share a
    /// name.
    pub started_at_ms: Option<u64>,
    /// Time for which it is cold from now on, by its own word.
    pub cold_time: Duration,
    /// Weights that it held when it published this entry. Empty for a plain service.
    pub held: Vec<HeldWeights>,
    /// Whether it is a model engine, which holds weights.
    pub serves_model: bool,
}

/// A change in the list of endpoints.
#[derive(Debug, Clone, PartialEq)]
pub enum EndpointUpdate {
    /// An endpoint published or updated its entry.
    Published(Endpoint),
    /// An endpoint's entry was removed or is not usable.
    Removed(EndpointId),
}
