//! Crashes of endpoints and the requests in progress at the time.

use base::{Digest, Incarnation, VmId, message};

message! {
    /// Identifies a crash of an endpoint.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct CrashId {
        /// The endpoint's VM.
        pub vm: VmId,
        /// Incarnation of its agent.
        pub incarnation: Incarnation,
        /// Number of the crash, counted by this incarnation of the agent.
        pub number: u64,
    }
}

message! {
    /// A crash of an agent's endpoint.
    #[derive(Copy, Eq)]
    pub struct Crash {
        /// Number of the crash, counted by this incarnation of the agent.
        pub number: u64,
        /// Whether exactly one attempt was in progress.
        pub alone: bool,
    }
}

message! {
    /// Records that a request was in progress when an endpoint crashed.
    #[derive(Eq)]
    pub struct CrashRecord {
        /// Fingerprint of the request.
        pub fingerprint: Digest,
        /// The crash.
        pub crash: CrashId,
        /// Whether no other request was in progress.
        pub alone: bool,
        /// Milliseconds since the crash.
        pub age_ms: u64,
    }
}
