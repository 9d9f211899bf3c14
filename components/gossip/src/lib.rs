//! Members and documents: what this process knows of the others, and how news spreads.

mod documents;
mod history;
mod joining;
mod members;
mod picker;

pub use documents::{Documents, OfferResult};
pub use joining::{JOIN_PEERS, Joining};
pub use members::{LocalState, Members, MembersSettings};
pub use picker::Picker;
