//! The process that callers reach: admits requests, chooses endpoints and streams answers.

mod attempt;
mod caller;
mod core;
mod event;
mod process;

pub use process::Entry;
