//! Process status for operators.

use base::{ReleaseId, Revision, RolloutId, VmId, message};

message! {
    /// State of a process.
    pub struct Status {
        /// Its VM.
        pub vm: VmId,
        /// `entry` or `agent`.
        pub role: String,
        /// Revision of the manifest in force.
        pub manifest: Revision,
        /// Why the last newer manifest was refused, if it was refused.
        pub refused: Option<String>,
        /// Revision of the VM list in force.
        pub vms: Revision,
        /// Whether the process accepts new requests.
        pub accepting: bool,
        /// Requests in progress.
        pub in_flight: usize,
        /// Bytes that this process read from the origin.
        pub origin_bytes: u64,
        /// Rollouts that this process knows.
        pub rollouts: Vec<RolloutRow>,
        /// Endpoints that this process knows.
        pub endpoints: Vec<EndpointRow>,
        /// Fingerprints of requests in quarantine.
        pub quarantined: Vec<String>,
    }
}

message! {
    /// State of one rollout.
    pub struct RolloutRow {
        /// The rollout.
        pub rollout: RolloutId,
        /// The release that it serves.
        pub release: ReleaseId,
        /// Number of ready replicas that this process knows.
        pub ready: usize,
        /// Number of placed replicas.
        pub wanted: usize,
        /// Seconds since this process learned of the release.
        pub seconds: f64,
    }
}

message! {
    /// State of one endpoint.
    pub struct EndpointRow {
        /// Its VM.
        pub vm: VmId,
        /// The release that it serves.
        pub release: Option<ReleaseId>,
        /// `ready`, `loading`, `switching`, `leaving`, `suspect`, `dead`, `out` or `unknown`.
        pub state: String,
        /// Requests in progress that this process sent.
        pub in_flight: u32,
    }
}
