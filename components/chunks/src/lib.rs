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

pub use link::LinkLimiter;
pub use plan::{Locality, Plan, VmLocation};
pub use pool::ChunkCache;
pub use settings::{OriginBudget, TransferSettings};
pub use source::{Action, FetchError, Source};
pub use transfer::Transfer;
