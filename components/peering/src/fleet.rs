//! What gateways tell stagers about the fleet, so that stagers do not have to read the store.

use std::net::{Ipv4Addr, SocketAddr};

use base::{Digest, ServiceId};
use catalog::Config;
use serde::{Deserialize, Serialize};

use crate::NamedVersion;

/// Number of members up to which a fleet is sent whole.
const MAX_WHOLE: usize = 64;

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
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
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
    /// The zone that brings weights in from the origin: the origin's own zone, or, if no member is
    /// there, the first one by name, so that all zones agree.
    pub fn origin_zone(&self) -> Option<&str> {
        let origin_zone = self.weights.as_ref().and_then(|weights| weights.origin_zone.as_deref());
        let has_members = |zone: &&str| self.members.iter().any(|member| member.zone == *zone);
        let first = || self.members.iter().map(|member| member.zone.as_str()).min();
        origin_zone.filter(has_members).or_else(first)
    }

    /// The part of the fleet that a stager in `zone` needs: the members of its zone and of the zone
    /// that brings weights in. A small fleet stays whole.
    pub fn for_zone(mut self, zone: &str) -> Fleet {
        if self.members.len() > MAX_WHOLE {
            let origin_zone = self.origin_zone().map(ToOwned::to_owned);
            let is_needed =
                |m: &Member| m.zone == zone || Some(m.zone.as_str()) == origin_zone.as_deref();
            self.members.retain(is_needed);
        }
        self.members.sort_unstable();
        self.members.dedup();
        self
    }

    /// Identifies the content apart from the named version. Processes that know the same fleet
    /// compute the same number.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be encoded.
    pub fn digest(&self) -> Result<u64, postcard::Error> {
        let fleet = Fleet { named: None, ..self.clone() };
        Ok(Digest::of(&fleet.encode()?).short())
    }

    /// Encodes the fleet as the body of a response.
    pub fn encode(&self) -> Result<Vec<u8>, postcard::Error> {
        postcard::to_stdvec(self)
    }

    /// Decodes the body of a response.
    pub fn decode(bytes: &[u8]) -> Result<Fleet, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

#[cfg(test)]
mod tests;
