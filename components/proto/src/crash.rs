//! Crashes of endpoints and the requests that were in progress.

use base::{Digest, Incarnation, VmId, message};

message! {
    /// Names one crash of an endpoint.
    #[derive(Eq, Hash, PartialOrd, Ord)]
    pub struct CrashId {
        /// The endpoint's VM.
        pub vm: VmId,
        /// The run of its agent.
        pub incarnation: Incarnation,
        /// Counts the crashes that this run of the agent saw.
        pub number: u64,
    }
}

message! {
    /// A crash of the endpoint beside an agent.
    #[derive(Copy, Eq)]
    pub struct Crash {
        /// Counts the crashes that this run of the agent saw.
        pub number: u64,
        /// Whether only one attempt was in progress.
        pub alone: bool,
    }
}

message! {
    /// A request was in progress when an endpoint crashed.
    #[derive(Eq)]
    pub struct CrashRecord {
        /// The request.
        pub fingerprint: Digest,
        /// The crash.
        pub crash: CrashId,
        /// Whether no other request was in progress.
        pub alone: bool,
        /// Milliseconds since the crash.
        pub age_ms: u64,
    }
}
