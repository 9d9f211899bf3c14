//! Requests that crash endpoints are kept from running again.

mod ledger;

pub use ledger::{CrashTracker, CrashTrackerSettings, QuarantineStatus, RecordEffect};
