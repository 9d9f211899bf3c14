//! What entries and agents say to each other: short datagrams that may be lost, and calls for what is
//! longer.

mod call;
mod fleet;
mod message;
mod socket;

pub use call::{Call, PIECE_TIMEOUT};
pub use fleet::{Fleet, FleetWeights, Member};
pub use message::{
    BadMessage, EngineState, Holding, Message, Named, Pieces, RefusedRequest, StateReport,
    Subscription, Suspicion,
};
pub use socket::{MAX_DATAGRAM, PeerSocket};
