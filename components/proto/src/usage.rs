//! What entries tell each other about the use of shares.

use base::{ServiceId, VmId, WorkspaceId, message};

message! {
    /// A part of the sender's weight and sums in a push-sum round.
    pub struct UsageUpdate {
        /// The sender.
        pub from: VmId,
        /// The epoch of the sums; sums of different epochs never mix.
        pub epoch: u64,
        /// Weight that goes with the sums.
        pub weight: f64,
        /// Sums by service and workspace.
        pub flows: Vec<FlowRow>,
    }
}

message! {
    /// Requests a second of a workspace at a service, times the weight; travels as an array.
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
