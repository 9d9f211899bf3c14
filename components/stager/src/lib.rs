//! The process beside an endpoint on the users' platform: it brings weights to the endpoint, from
//! other VMs before the origin, and reports the endpoint's state to entries.

mod engine;
mod fetch;
mod fleet;
mod load;
mod peers;
mod process;
mod report;
mod settings;
mod shared;
mod spread;
mod turn;

pub use process::run;
pub use settings::StagerSettings;
pub use spread::{Failure, Fetch, Neighbour, Source, Spread, SpreadSettings};
pub use turn::{Peer, TurnSettings, may_load};
