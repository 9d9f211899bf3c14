//! Chooses an endpoint for each attempt.

mod health;
mod need;
mod router;
mod subset;
mod usable;

pub use health::{EndpointOutcome, HealthSettings};
pub use need::{AllowedReleases, EndpointRequirements, SlotQuota};
pub use router::{PickedEndpoint, Router, RouterSettings, TrackedEndpoint};
pub use subset::{ZonedVm, subset};
