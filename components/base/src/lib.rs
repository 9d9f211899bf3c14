//! Identifiers, sizes, rates, digests and problems that every other package shares.

mod digest;
mod ids;
mod macros;
mod problem;
mod rank;
mod units;

pub use digest::{BadDigest, Digest};
pub use ids::{
    ArtifactId, AttemptId, BadId, Fence, IdempotencyKey, Incarnation, Region, ReleaseId, Revision,
    RolloutId, ServiceId, VersionId, VmId, WorkspaceId, Zone,
};
pub use problem::Problem;
pub use rank::{highest, rank, ranked};
pub use units::{BadUnit, ByteRate, ByteSize, Permille, Rate, Timeout};
