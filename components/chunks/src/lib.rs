//! Moves chunks: what is held, what is fetched from where, and how fast.

mod budget;
mod flights;
mod link;
mod news;
mod peers;
mod plan;
mod pool;
mod queue;
mod settings;
mod source;
mod transfer;

pub use link::Link;
pub use plan::{Place, Plan, Reach};
pub use pool::Pool;
pub use settings::{OriginShare, TransferSettings};
pub use source::{Action, FetchError, Source};
pub use transfer::Transfer;
