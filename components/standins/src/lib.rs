//! Fake platform services and endpoints for tests, the demo and the bench.
//!
//! They keep their own counts of requests and orders, so that tests don't depend on what the code
//! under test reports about itself.

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
