//! The process that callers reach on the users' platform: it admits requests, sends them to endpoints
//! and passes answers on as they come. One thread, driven by events.

mod answer;
mod ask;
mod attempt;
mod events;
mod follow;
mod peers;
mod process;
mod refused;
mod serve;
mod settings;
mod shared;
mod stopping;
mod stream;
mod suspects;
mod weights;

pub use process::run;
pub use settings::GatewaySettings;
