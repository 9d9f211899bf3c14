//! The documents that the platform publishes: the manifest, the chunk lists and the VM list.

mod check;
mod chunk_list;
mod delta;
mod error;
mod model;
mod release;
mod vms;

pub use check::MAX_VALUE_BYTES;
pub use chunk_list::ChunkList;
pub use delta::{Delta, ManifestDelta, ManifestEntry, ManifestKey, VmsDelta};
pub use error::ManifestError;
pub use model::{
    Adapter, CallRule, Manifest, Model, OriginBudget, Rollout, Service, ServiceKind, Version,
    VersionRef, Workspace,
};
pub use release::{Release, ReleasePart};
pub use vms::{Role, Vm, VmList, VmState};
