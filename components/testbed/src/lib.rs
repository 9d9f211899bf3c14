//! A small fleet inside one process, for tests, the demo and the bench: fake platform services and
//! endpoints, and real agents and entries that communicate over the loopback interface.

mod bed;
mod caller;
mod relay;
mod weights;

pub use bed::{AgentVm, CALLER_KEY, Testbed, TestbedSettings};
pub use caller::{CallResult, Caller};
pub use relay::Relay;
pub use weights::{Weights, publish_weights};
