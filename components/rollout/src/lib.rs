//! Takes one endpoint from one release to the next.

mod endpoint;
mod order;
mod turn;

pub use endpoint::{Action, Endpoint, EngineView, Event, Phase, Target};
pub use order::{Order, OrderKind};
pub use turn::{Replica, Turn, my_turn};
