//! The process that callers reach on the users' platform: it admits requests, sends them to endpoints
//! and passes answers on as they come. One thread, driven by events.

mod attempt;
mod events;
mod peers;
mod process;
mod refused;
mod request;
mod response;
mod serve;
mod settings;
mod shutdown;
mod state;
mod store_follower;
mod stream;
mod suspects;
mod weights;

pub use process::run;
pub use settings::GatewaySettings;
