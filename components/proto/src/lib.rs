//! The protocol between the processes of the system.
//!
//! Control messages use JSON-RPC (`Peer`). Chunks and responses use HTTP on the data address, with
//! the headers in `header`; a response is a sequence of `Frame` lines.

mod attempt;
mod crash;
mod frame;
pub mod header;
mod member;
mod peer;
mod reservation;
mod status;
mod usage;

pub use attempt::{AttemptRef, ExecutionStatus, MIN_RETRY_AFTER, Outcome, RefusalReason};
pub use crash::{Crash, CrashId, CrashRecord};
pub use frame::{Frame, FrameError};
pub use member::{
    Announcement, DocumentKind, DocumentReply, DocumentRequest, EndpointState, Gossip, Load,
    Member, MemberState, Serving, TrialOutcome, Verdict,
};
pub use peer::{PeerClient, PeerServer};
pub use reservation::{Reservation, ReservationError};
pub use status::{EndpointRow, RolloutRow, Status};
pub use usage::{FlowRow, UsageUpdate};
