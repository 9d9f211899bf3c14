//! What gateways tell stagers about the fleet, so that stagers do not have to read the store.

use std::net::{Ipv4Addr, SocketAddr};

use base::ServiceId;
use catalog::Config;
use serde::{Deserialize, Serialize};

use crate::NamedVersion;

/// The endpoints of one service, as far as their stagers need to know them.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Fleet {
    /// VMs that run an endpoint of the service.
    pub members: Vec<Member>,
    /// Size and origin of the service's weights.
    pub weights: Option<FleetWeights>,
    /// The newest weights version that the operator named.
    pub named: Option<NamedVersion>,
    /// Whether another endpoint can resume any request that runs at one of them.
    pub resumable: bool,
}

/// A VM with an endpoint of the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its IP address.
    pub ip: Ipv4Addr,
    /// Its availability zone.
    pub zone: String,
}

/// Size of a service's weights, and the origin that holds them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetWeights {
    /// The model that the weights belong to.
    pub model: String,
    /// Number of pieces.
    pub pieces: u32,
    /// Size of a piece in bytes.
    pub piece_bytes: u32,
    /// Address that the weights are first read from.
    pub origin: Option<SocketAddr>,
    /// The availability zone of the origin.
    pub origin_zone: Option<String>,
}

impl FleetWeights {
    /// The weights of a service; `None` if its endpoints have none.
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
    /// Encodes the fleet as the body of a response.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the body of a response.
    pub fn decode(bytes: &[u8]) -> Result<Fleet, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
