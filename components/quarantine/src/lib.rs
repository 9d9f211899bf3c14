//! Quarantine of requests, and of parts of prompts, that repeatedly crash endpoints.

mod crash_tracker;
mod part_tracker;

pub use crash_tracker::{CrashTracker, CrashTrackerSettings, QuarantineStatus, RecordEffect};
pub use part_tracker::{LostRequest, PartKey, PartTracker, PartTrackerSettings};
