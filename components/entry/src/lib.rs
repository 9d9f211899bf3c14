//! The process that callers reach: admits requests, chooses endpoints and streams answers.

mod admission;
mod attempt;
mod binding;
mod caller;
mod claims;
mod core;
mod counts;
mod endpoints;
mod event;
mod pools;
mod process;
mod queue;
mod refusal;
mod report;
mod request;
mod retry;
mod shares;
mod sink;
mod suspects;

pub use process::Entry;
