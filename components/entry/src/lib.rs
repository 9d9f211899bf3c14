//! The process that callers reach: admits requests, chooses endpoints and streams answers.

mod admission;
mod attempt;
mod caller;
mod claims;
mod core;
mod endpoints;
mod event;
mod pools;
mod process;
mod queue;
mod report;
mod retry;
mod shares;

pub use process::Entry;
