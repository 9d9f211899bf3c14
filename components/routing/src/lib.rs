//! Picks an endpoint for each attempt.

mod candidate;
mod health;
mod requirements;
mod router;
mod subset;

pub use health::{EndpointOutcome, HealthSettings};
pub use requirements::{AllowedReleases, EndpointRequirements, SlotQuota};
pub use router::{PickedEndpoint, Router, RouterSettings, TrackedEndpoint};
pub use subset::{ZonedVm, subset};
