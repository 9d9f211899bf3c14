//! Datagrams. Each stands for itself: it may be lost, doubled or late, and the next one makes up for
//! it.

use std::net::Ipv4Addr;

use serde::{Deserialize, Serialize};

/// A datagram that is none of this protocol.
#[derive(Debug, thiserror::Error)]
#[error("datagram is not readable: {0}; another version of the program may run there")]
pub struct MessageError(#[from] postcard::Error);

/// A datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// An entry asks an agent for reports.
    Subscribe(Subscription),
    /// An agent reports its endpoint to an entry.
    State(StateReport),
    /// An agent tells a neighbour which pieces it holds.
    Holding(Inventory),
    /// An entry tells another of requests that were in progress when an endpoint crashed.
    Suspicions(Vec<Suspicion>),
    /// An entry tells the others of its zone which requests it refused, as their callers come back.
    Refused(Vec<RefusedRequest>),
}

/// Weights that the operator named.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct NamedVersion {
    /// Their version.
    pub version: u64,
    /// Milliseconds since the sender knows of them.
    pub age_ms: u32,
}

/// Asks for reports until a few seconds later.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Subscription {
    /// Whether the entry is in the agent's zone and gets reports more often.
    pub near: bool,
    /// The newest weights of the endpoint's service.
    pub named: Option<NamedVersion>,
    /// Grows when what `Call::Fleet` returns changed.
    pub fleet: u64,
}

/// What an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineState {
    /// It takes requests.
    Serving,
    /// It holds no weights.
    Empty,
    /// It loads weights and takes no requests.
    Loading,
    /// It did not answer its agent.
    Silent,
}

/// What an agent knows of its endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StateReport {
    /// Counts the reports of one run of the agent; a lower one is late.
    pub number: u32,
    /// When the agent started, in Unix milliseconds; tells its runs apart.
    pub run: u64,
    /// What the engine does.
    pub state: EngineState,
    /// The weights that it holds.
    pub version: Option<u64>,
    /// The newest weights that the agent knows of.
    pub named: Option<NamedVersion>,
    /// Requests that wait there.
    pub waiting: u16,
    /// Requests that run there.
    pub running: u16,
    /// Cache tokens in use.
    pub cache_used: u32,
    /// How slow the engine is, in hundredths of its published time for a step.
    pub pace: u16,
    /// Whether the receiver is the entry of the zone that sends requests here first.
    pub home: bool,
    /// Other entries that asked for reports, at most a few.
    pub entries: Vec<Ipv4Addr>,
    /// Entries of the agent's zone, at most a few.
    pub near_entries: Vec<Ipv4Addr>,
    /// Number of all entries that asked for reports.
    pub entry_count: u16,
}

/// Pieces as a set of bits, the first piece in the lowest bit of the first byte.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceSet(Vec<u8>);

/// What an agent holds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inventory {
    /// The version that it holds pieces of.
    pub version: u64,
    /// The pieces that it can give.
    pub pieces: PieceSet,
    /// Whether it knows the digests of the version.
    pub digests: bool,
    /// The version that its engine serves.
    pub serving: Option<u64>,
    /// Whether all pieces are staged at its engine.
    pub staged: bool,
    /// Whether its engine loads.
    pub loading: bool,
    /// The newest weights that it knows of.
    pub named: Option<NamedVersion>,
}

/// A request whose caller was told to come back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusedRequest {
    /// The first bytes of what tells what was asked by whom.
    pub fingerprint: u64,
    /// Milliseconds since its caller first asked.
    pub age_ms: u32,
}

/// A request that was lost at an endpoint while it may have run there.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Tells what was asked by whom, without its content.
    pub fingerprint: [u8; 32],
    /// The endpoint's VM.
    pub vm: Ipv4Addr,
    /// Names the loss; random.
    pub number: u64,
    /// Milliseconds since.
    pub age_ms: u32,
}

impl Message {
    /// Decodes a datagram.
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

    /// Whether a piece is among them.
    pub fn contains(&self, piece: u32) -> bool {
        let byte = self.0.get(piece as usize / 8);
        byte.is_some_and(|byte| byte & (1 << (piece % 8)) != 0)
    }

    /// How many they are.
    pub fn len(&self) -> u32 {
        self.0.iter().map(|byte| byte.count_ones()).sum()
    }

    /// Whether there are none.
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
