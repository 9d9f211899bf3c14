//! The agent process next to one endpoint: it loads weights into the engine and runs attempts.

mod attempt;
mod core;
mod data;
mod engine;
mod event;
mod loading;
mod process;
mod response;
mod responses;
mod rollouts;
mod rpc;
mod run;
mod weights;

pub use process::Agent;
