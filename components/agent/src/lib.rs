//! The process beside one endpoint: it brings weights to the engine and runs attempts.

mod answer;
mod answers;
mod attempt;
mod core;
mod data;
mod engine;
mod event;
mod loading;
mod process;
mod report;
mod rollouts;
mod run;
mod weights;

pub use process::Agent;
