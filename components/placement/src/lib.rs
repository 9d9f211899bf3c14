//! Decides which VM serves which rollout: a deterministic function of the manifest and the VM list.

mod place;
mod shares;

pub use place::{Placement, place};
pub use shares::{Claim, fill};
