//! Chooses an endpoint for each attempt.

mod health;
mod router;
mod subset;

pub use health::{AttemptEnd, HealthSettings};
pub use router::{Choice, Known, Need, Router, RouterSettings, SlotPart, Wanted};
pub use subset::{Placed, subset};
