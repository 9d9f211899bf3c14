//! An agent's records of attempts and idempotency keys, which decide what may run at its endpoint.

mod keys;
mod ownership;
mod table;

pub use keys::{KeySettings, KeyUse, Keys};
pub use ownership::{KeyOwnership, KeyOwnershipSettings};
pub use table::{AttemptRequest, Attempts, AttemptsSettings};
