//! What entries and agents say to each other: short datagrams that may be lost, and calls for what is
//! longer.

mod fleet;
mod message;
mod request;
mod socket;

pub use fleet::{Fleet, FleetWeights, Member};
pub use message::{
    EngineState, Inventory, Message, MessageError, NamedVersion, PieceSet, RefusedRequest,
    StateReport, Subscription, Suspicion,
};
pub use request::{PeerRequest, REQUEST_TIMEOUT};
pub use socket::{MAX_DATAGRAM, PeerSocket};
