//! The part that all processes share: documents in force, membership, gossip and the audit trail.

mod event;
mod node;
mod readers;
mod talk;
mod watcher;

pub use gossip::LocalState;

pub use event::{Changes, NodeEvent};
pub use node::{Identity, Node, wall_clock_ms};
