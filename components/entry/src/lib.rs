//! The entry process that callers connect to: admits requests, selects endpoints and streams
//! responses.

mod admission;
mod attempt;
mod binding;
mod caller;
mod core;
mod counts;
mod endpoints;
mod event;
mod pools;
mod process;
mod queue;
mod quotas;
mod refusal;
mod report;
mod request;
mod retry;
mod sink;
mod suspects;
mod workspaces;

pub use process::Entry;
