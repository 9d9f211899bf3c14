//! Small stand-ins for the platform and the endpoints, for tests, the demo and the bench.
//!
//! They count from their side what the code under test must not be trusted to count itself.

mod answers;
mod blobs;
mod engine;
mod generation;
mod plain;
mod slots;
mod values;

pub use answers::expected_completion;
pub use blobs::{BlobFaults, BlobService};
pub use engine::{ActivationFault, Engine, EngineCounts, EngineSettings};
pub use plain::PlainService;
pub use values::{ValueService, manifest_value, vms_value};
