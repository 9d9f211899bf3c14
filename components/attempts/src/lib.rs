//! Attempts at one endpoint: each runs at most once, and "not run" is final.

mod table;

pub use table::{Attempts, AttemptsSettings, Offer};
