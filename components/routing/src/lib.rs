//! Chooses an endpoint for each attempt.

mod health;
mod need;
mod router;
mod subset;
mod usable;

pub use health::{AttemptEnd, HealthSettings};
pub use need::{Need, SlotPart, Wanted};
pub use router::{Choice, Known, Router, RouterSettings};
pub use subset::{Placed, subset};
