//! Quarantine of requests that repeatedly crash endpoints.

mod crash_tracker;

pub use crash_tracker::{CrashTracker, CrashTrackerSettings, QuarantineStatus, RecordEffect};
