//! Members and documents: what this process knows of the others, and how news spreads.

mod documents;
mod members;

pub use documents::{Documents, Taken};
pub use members::{Members, MembersSettings};
