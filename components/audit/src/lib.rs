//! The audit trail: each change that a process makes or accepts.

mod entry;
mod trail;

pub use entry::{Change, Entry};
pub use trail::{Page, Trail};
