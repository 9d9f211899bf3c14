//! Types that all other crates share: identifiers, units, digests, streams of events and
//! validation problems.

mod digest;
mod events;
mod ids;
mod macros;
mod problem;
mod rank;
mod readers;
mod units;

pub use digest::{Digest, ParseDigestError};
pub use events::{EVENT_STREAM, EventPosition};
pub use ids::{
    ArtifactId, AttemptId, Fence, IdempotencyKey, Incarnation, ParseIdError, Region, ReleaseId,
    Revision, RolloutId, ServiceId, VersionId, VmId, WorkspaceId, Zone,
};
pub use problem::Problem;
pub use rank::{rendezvous_first, rendezvous_order, rendezvous_weight};
pub use readers::Readers;
pub use units::{ByteRate, ByteSize, ParseUnitError, Permille, Rate, Timeout};
