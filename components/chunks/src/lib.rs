//! Distribution of weight chunks between VMs: chunk cache, fetch scheduling and rate limiting.

mod announcements;
mod budget;
mod cache;
mod fetches;
mod link;
mod peers;
mod plan;
mod queue;
mod settings;
mod source;
mod transfer;

pub use cache::ChunkCache;
pub use link::LinkLimiter;
pub use plan::{Locality, Plan, VmLocation};
pub use settings::{OriginBudget, TransferSettings};
pub use source::{Action, FetchError, Source};
pub use transfer::Transfer;
