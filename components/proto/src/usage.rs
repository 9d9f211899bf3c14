//! Messages by which entries aggregate the usage of workspace shares.

use base::{ServiceId, VmId, WorkspaceId, message};

message! {
    /// A part of the sender's weight and sums in a round of push-sum gossip.
    pub struct UsageUpdate {
        /// The sender.
        pub from: VmId,
        /// The epoch of the sums; sums of different epochs are never combined.
        pub epoch: u64,
        /// Weight that goes with the sums.
        pub weight: f64,
        /// Sums by service and workspace.
        pub flows: Vec<FlowRow>,
    }
}

message! {
    /// Requests per second of a workspace at a service, times the weight; serialized as an array.
    pub struct FlowRow(
        /// The service.
        pub ServiceId,
        /// The workspace.
        pub WorkspaceId,
        /// Requests that arrived.
        pub f64,
        /// Requests that were answered.
        pub f64,
    );
}
