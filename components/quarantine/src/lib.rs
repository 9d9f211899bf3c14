//! Requests that crash endpoints are kept from running again.

mod ledger;

pub use ledger::{Ledger, LedgerSettings, Noted, Verdict};
