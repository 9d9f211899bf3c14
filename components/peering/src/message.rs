//! Datagrams. Each one is self-contained: it may be lost, duplicated or late, and the next one
//! corrects that.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// A datagram that cannot be encoded or decoded.
#[derive(Debug, thiserror::Error)]
#[error("invalid datagram: {0}; the peer may run another version of the program")]
pub struct MessageError(#[from] postcard::Error);

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// A gateway asks a stager for state reports.
    Subscribe(Subscription),
    /// A stager reports the state of its endpoint to a gateway.
    State(StateReport),
    /// A stager tells a neighbour which pieces it holds.
    Holding(Inventory),
    /// A gateway tells another one about requests that were in progress when an endpoint crashed.
    Suspicions(Vec<Suspicion>),
    /// A gateway tells the others of its zone which requests it refused, as the callers will retry.
    Refused(Vec<RefusedRequest>),
    /// A gateway tells others about parts of prompts that may crash endpoints.
    Parts(PartNews),
    /// A gateway tells others how far it knows the store.
    Known(KnownPosition),
    /// A gateway tells others of limits that endpoints name.
    Limits(Vec<NamedLimit>),
    /// A stager tells a neighbour that it corrected a list of digests.
    Relisted(Relisted),
    /// A gateway asks a stager of another zone for state reports. Its own zone has no endpoint that may
    /// get its requests, so that it sends them there like a gateway of that zone.
    SubscribeDisplaced(Subscription),
}

/// A weights version that the operator named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// The version.
    pub version: u64,
    /// Milliseconds since the sender learned of it.
    pub age_ms: u32,
}

/// A position of the platform's store up to which a gateway knows all changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownPosition {
    /// Era of the store in which the revision was given out.
    pub era: u64,
    /// The revision.
    pub revision: u64,
}

/// The limit that an endpoint names for the requests of all gateways together.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedLimit {
    /// Id of the endpoint.
    pub endpoint: String,
    /// Thousandths of a request per second; `None` if the endpoint names no limit any more.
    pub limit: Option<u32>,
    /// Milliseconds since an answer of the endpoint showed that.
    pub seen_age_ms: u32,
    /// Milliseconds since the endpoint first named a limit.
    pub named_age_ms: u32,
    /// Gateways that want to send requests to the endpoint.
    pub wanting: Vec<Wanting>,
}

/// A gateway that wants to send requests to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanting {
    /// The gateway.
    pub gateway: Ipv4Addr,
    /// Milliseconds since it last wanted to.
    pub age_ms: u32,
}

/// Asks for state reports for the next few seconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Whether the gateway is in the stager's zone and therefore gets reports more often.
    pub near: bool,
    /// The newest named version of the service's weights.
    pub named: Option<NamedVersion>,
    /// The digest of the fleet that `PeerRequest::Fleet` returns for the stager's zone.
    pub fleet: u64,
}

/// The state of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// It takes requests.
    Serving,
    /// It holds no weights.
    Empty,
    /// It loads weights and takes no requests.
    Loading,
    /// It did not answer its stager.
    Silent,
}

/// A stager's report on the state of its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateReport {
    /// Sequence number within one run of the stager; a report with a lower number is late.
    pub number: u32,
    /// Start time of the stager in Unix milliseconds; identifies its run.
    pub run: u64,
    /// The state of the engine.
    pub state: EngineState,
    /// The weights version that it holds.
    pub version: Option<u64>,
    /// The newest named version that the stager knows.
    pub named: Option<NamedVersion>,
    /// Number of requests waiting at the endpoint.
    pub waiting: u16,
    /// Number of requests running at the endpoint.
    pub running: u16,
    /// Share of the KV cache in use, in ten-thousandths; [`StateReport::UNKNOWN_SHARE`] if unknown.
    pub cache_used: u32,
    /// The engine's step time in hundredths of its published step time.
    pub pace: u16,
    /// Whether the receiver is the gateway of the zone that prefers this endpoint.
    pub home: bool,
    /// A few other gateways that subscribed to reports.
    pub entries: Vec<Ipv4Addr>,
    /// A few gateways of the stager's zone.
    pub near_entries: Vec<Ipv4Addr>,
    /// Number of all gateways that subscribed to reports.
    pub entry_count: u16,
}

impl StateReport {
    /// The `cache_used` of an engine that does not state it.
    pub const UNKNOWN_SHARE: u32 = u32::MAX;
    /// The `cache_used` of an engine whose cache is full.
    const FULL_SHARE: f64 = 10_000.0;

    /// Encodes a share of the KV cache for `cache_used`.
    pub fn encode_cache_share(share: Option<f64>) -> u32 {
        share.map_or(StateReport::UNKNOWN_SHARE, |share| {
            (share.clamp(0.0, 1.0) * StateReport::FULL_SHARE).round() as u32
        })
    }

    /// The share of the KV cache in use, if it is known.
    pub fn cache_share(&self) -> Option<f64> {
        let share = f64::from(self.cache_used) / StateReport::FULL_SHARE;
        (share <= 1.0).then_some(share)
    }
}

/// A set of pieces as a bit set; the first piece is the lowest bit of the first byte.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSet(Vec<u8>);

/// What a stager holds, and the state of its engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The version that the pieces belong to.
    pub version: u64,
    /// The pieces that it can serve.
    pub pieces: PieceSet,
    /// Whether it has the digests of the version.
    pub digests: bool,
    /// The version that its engine serves.
    pub serving: Option<u64>,
    /// Whether all pieces are staged at its engine.
    pub staged: bool,
    /// Whether its engine is loading.
    pub loading: bool,
    /// The newest named version that it knows.
    pub named: Option<NamedVersion>,
}

/// A list of digests that differs from the one that the origin sent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relisted {
    /// The version of the weights.
    pub version: u64,
    /// How often the list was corrected. A higher revision replaces a lower one.
    pub revision: u32,
}

/// A refused request whose caller was told to retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// The first bytes of the request's fingerprint, which identifies the caller and the content.
    pub fingerprint: u64,
    /// Milliseconds since the caller's first attempt.
    pub age_ms: u32,
}

/// A request whose attempt was lost at an endpoint while it may have been running there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Identifies the caller and the content without revealing the content.
    pub fingerprint: [u8; 32],
    /// The VM of the endpoint.
    pub vm: Ipv4Addr,
    /// A random number that identifies the loss.
    pub number: u64,
    /// Milliseconds since the loss.
    pub age_ms: u32,
}

/// What a gateway learned of parts of prompts.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNews {
    /// Requests that were lost at endpoints that had not begun to answer them.
    pub lost: Vec<LostParts>,
    /// Parts that were answered although they had been lost before.
    pub answered: Vec<PartAge>,
    /// Parts that are refused, with the ages of their last crashes.
    pub refused: Vec<PartAge>,
}

/// A lost request and the parts of its prompt that others may share.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LostParts {
    /// Identifies the request without revealing its content.
    pub request: u64,
    /// The parts, in order.
    pub parts: Vec<u64>,
    /// Milliseconds since the loss.
    pub age_ms: u32,
}

/// A part of a prompt, and how long ago something happened to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAge {
    /// Identifies the part within its service.
    pub part: u64,
    /// Milliseconds since then.
    pub age_ms: u32,
}

impl Message {
    /// Decodes a datagram. Fails if it does not follow this protocol.
    pub fn decode(bytes: &[u8]) -> Result<Message, MessageError> {
        Ok(postcard::from_bytes(bytes)?)
    }

    /// Encodes a datagram.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        Ok(postcard::to_stdvec(self)?)
    }
}

impl PieceSet {
    /// Adds a piece.
    pub fn insert(&mut self, piece: u32) {
        let (byte, bit) = (piece as usize / 8, piece % 8);
        if self.0.len() <= byte {
            self.0.resize(byte + 1, 0);
        }
        self.0[byte] |= 1 << bit;
    }

    /// Whether the set contains a piece.
    pub fn contains(&self, piece: u32) -> bool {
        let byte = self.0.get(piece as usize / 8);
        byte.is_some_and(|byte| byte & (1 << (piece % 8)) != 0)
    }

    /// The number of pieces.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

impl FromIterator<u32> for PieceSet {
    fn from_iter<I: IntoIterator<Item = u32>>(pieces: I) -> PieceSet {
        let mut set = PieceSet::default();
        pieces.into_iter().for_each(|piece| set.insert(piece));
        set
    }
}

#[cfg(test)]
mod tests;
