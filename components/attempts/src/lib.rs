//! Which attempts and idempotency keys may run at an endpoint, decided by the agent beside it.

mod homes;
mod keys;
mod table;

pub use homes::{KeyOwnership, KeyOwnershipSettings};
pub use keys::{KeySettings, KeyUse, Keys};
pub use table::{AttemptRequest, Attempts, AttemptsSettings};
