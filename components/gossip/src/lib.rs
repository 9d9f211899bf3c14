//! Gossip state of a process: the known members, the documents in force, and how updates spread.

mod documents;
mod history;
mod joining;
mod members;
mod picker;

pub use documents::{Documents, OfferResult};
pub use joining::{JOIN_PEERS, Joining};
pub use members::{LocalState, Members, MembersSettings};
pub use picker::Picker;
