//! The process that callers reach: admits requests, chooses endpoints and streams answers.

mod admission;
mod attempt;
mod caller;
mod core;
mod endpoints;
mod event;
mod process;
mod report;

pub use process::Entry;
