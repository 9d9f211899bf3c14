//! Assigns rollouts to VMs, as a deterministic function of the manifest and the VM list.

mod inputs;
mod matching;
mod place;
mod quotas;
mod shares;
mod zones;

pub use inputs::InputsFingerprint;
pub use place::{Placement, place};
pub use shares::{Claim, max_min_allocation};
