//! Rolls out releases on one endpoint: the state machine of the endpoint and the rules for when it
//! may switch.

mod endpoint;
mod event;
mod order;
mod switch;
mod trial;

pub use endpoint::Endpoint;
pub use event::{Action, EngineStatus, Event, Phase, Target};
pub use order::{Order, OrderKind};
pub use switch::{Replica, SwitchPolicy, fallback_release, is_halted, may_switch};
