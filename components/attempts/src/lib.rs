//! Which attempts and idempotency keys may run at an endpoint, decided by the agent beside it.

mod homes;
mod keys;
mod table;

pub use homes::{Homes, HomesSettings};
pub use keys::{KeySettings, KeyUse, Keys};
pub use table::{Attempts, AttemptsSettings, Offer};
