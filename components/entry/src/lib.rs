//! The process that callers reach: admits requests, chooses endpoints and streams answers.

mod admission;
mod attempt;
mod binding;
mod caller;
mod core;
mod endpoints;
mod event;
mod process;
mod refusal;
mod report;
mod request;
mod sink;
mod suspects;

pub use process::Entry;
