//! Communication between gateways and stagers: short datagrams that may be lost, and HTTP requests
//! for larger data.

mod explain;
mod fleet;
mod message;
mod relay;
mod request;
mod socket;

pub use explain::{
    ExplainAnswer, ExplainQuery, ExplainedDecision, ExplainedEndpoint, ExplainedService,
    ExplainedSuitability,
};
pub use fleet::{Fleet, FleetWeights, Member};
pub use message::{
    EngineState, Inventory, KnownPosition, LostParts, Message, MessageError, NamedLimit,
    NamedVersion, PartAge, PartNews, PieceSet, RefusedRequest, Relisted, StateReport, Subscription,
    Suspicion, Wanting,
};
pub use relay::{RelayedBody, RelayedChanges, RelayedContent};
pub use request::{PeerRequest, REQUEST_TIMEOUT};
pub use socket::{MAX_DATAGRAM, PeerSocket};
