//! What entries tell agents of the fleet, so that agents need not read the store.

use std::net::{Ipv4Addr, SocketAddr};

use base::ServiceId;
use catalog::Config;
use serde::{Deserialize, Serialize};

use crate::NamedVersion;

/// The endpoints of one service, as far as their agents need to know.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// VMs that an endpoint of the service stands on.
    pub members: Vec<Member>,
    /// The shape of the service's weights.
    pub weights: Option<FleetWeights>,
    /// The newest weights that the operator named.
    pub named: Option<NamedVersion>,
    /// Whether another endpoint can go on with whatever runs at one of them.
    pub resumable: bool,
}

/// A VM with an endpoint of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its IP address.
    pub ip: Ipv4Addr,
    /// Its zone.
    pub zone: String,
}

/// The shape of a service's weights, and where they are read from first.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetWeights {
    /// The model.
    pub model: String,
    /// Pieces of the weights.
    pub pieces: u32,
    /// Bytes of a piece.
    pub piece_bytes: u32,
    /// Where weights are read from first.
    pub origin: Option<SocketAddr>,
    /// The zone of the origin.
    pub origin_zone: Option<String>,
}

impl FleetWeights {
    /// The weights of a service, if its endpoints have any.
    pub fn from_config(config: &Config, service: &ServiceId) -> Option<FleetWeights> {
        let engine = config.services.get(service)?.engine.as_ref()?;
        let weights = engine.weights.as_ref()?;
        let origin = config.weights_origin();
        Some(FleetWeights {
            model: weights.model.to_string(),
            pieces: weights.pieces,
            piece_bytes: weights.piece_bytes,
            origin: origin.map(|(addr, _)| addr),
            origin_zone: origin.and_then(|(_, zone)| zone).map(ToString::to_string),
        })
    }
}

impl Fleet {
    /// Encodes it for a call's answer.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes a call's answer.
    pub fn decode(bytes: &[u8]) -> Result<Fleet, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
