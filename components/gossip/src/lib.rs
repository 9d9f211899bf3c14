//! Members and documents: what this process knows of the others, and how news spreads.

mod documents;
mod history;
mod joining;
mod members;
mod picker;

pub use documents::{Documents, Taken};
pub use joining::{JOIN_PEERS, Joining};
pub use members::{Members, MembersSettings, Stated};
pub use picker::Picker;
