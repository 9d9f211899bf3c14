//! A small fleet inside one process, for tests, the demo and the bench: stand-ins for the platform
//! and the endpoints, and real agents and entries that talk over loopback.

mod bed;
mod caller;
mod relay;
mod weights;

pub use bed::{AgentVm, CALLER_KEY, Testbed, TestbedSettings};
pub use caller::{CallResult, Caller};
pub use relay::Relay;
pub use weights::{Weights, publish_weights};
