//! What every process of the system does: it keeps the documents in force, knows its members,
//! gossips, and writes the audit trail.

mod event;
mod node;
mod readers;
mod talk;
mod watcher;

pub use gossip::LocalState;

pub use event::{Changes, NodeEvent};
pub use node::{Identity, Node, wall_clock_ms};
