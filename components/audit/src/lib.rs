//! The audit trail: a record of every change that a process makes or accepts.

mod entry;
mod trail;

pub use entry::{AuditEntry, Change};
pub use trail::{AuditPage, AuditTrail};
