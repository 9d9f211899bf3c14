//! Takes one endpoint from one release to the next.

mod endpoint;
mod event;
mod order;
mod trial;
mod turn;

pub use endpoint::Endpoint;
pub use event::{Action, EngineView, Event, Phase, Target};
pub use order::{Order, OrderKind};
pub use turn::{Replica, Turn, fallback, halted, my_turn};
