//! Messages about processes, documents and endpoints.

use base::{Digest, Incarnation, ReleaseId, Revision, RolloutId, ServiceId, VmId, message};
use manifest::{ManifestDelta, VmsDelta};

message! {
    /// Gossip message, sent as a call and as its reply.
    pub struct Gossip {
        /// The sender.
        pub from: VmId,
        /// The sender's incarnation.
        pub incarnation: Incarnation,
        /// Revision of the manifest that the sender has in force.
        pub manifest: Revision,
        /// Revision of the VM list that the sender has in force.
        pub vms: Revision,
        /// Milliseconds since that VM list was last confirmed as the newest, if it ever was.
        #[serde(default)]
        pub vms_age_ms: Option<u64>,
        /// Updates on members; bounded in number.
        pub members: Vec<Member>,
    }
}

message! {
    /// State of a process as known by the sender.
    pub struct Member {
        /// Its VM.
        pub vm: VmId,
        /// Its incarnation; updates on older incarnations are dropped.
        pub incarnation: Incarnation,
        /// Its membership state.
        pub state: MemberState,
        /// Version of the process's own state within this incarnation; the higher one wins.
        pub beat: u64,
        /// The release that its endpoint serves and accepts requests for, for agents of model
        /// engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub serving: Option<ReleaseId>,
        /// The target release of its rollout, according to the manifest in force at that process.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub wants: Option<ReleaseId>,
        /// Revision of the manifest that the fields on its rollout refer to.
        #[serde(default)]
        pub manifest: Revision,
        /// Result of the trial of a release on its endpoint.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub verdict: Option<Verdict>,
    }
}

message! {
    /// Result of the trial of a release on one endpoint.
    #[derive(Eq)]
    pub struct Verdict {
        /// The release.
        pub release: ReleaseId,
        /// Outcome of the trial.
        pub outcome: TrialOutcome,
    }
}

message! {
    /// Outcome of the trial of a release.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum TrialOutcome {
        /// The release served for the soak time.
        Passed,
        /// The engine refused the release, or crashed on it.
        Failed,
    }
}

message! {
    /// State of a process as seen by the other members.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MemberState {
        /// It answers.
        Alive,
        /// It did not answer; it may refute this.
        Suspect,
        /// It announced that it is stopping.
        Leaving,
        /// It did not refute the suspicion in time.
        Dead,
    }
}

message! {
    /// The documents that processes distribute among each other.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum DocumentKind {
        /// The manifest.
        Manifest,
        /// The VM list.
        Vms,
    }
}

message! {
    /// Request for a newer document.
    pub struct DocumentRequest {
        /// Which document.
        pub kind: DocumentKind,
        /// The revision that the sender has; 0 requests the full document.
        pub have: Revision,
    }
}

message! {
    /// Reply to a request for a newer document.
    #[serde(rename_all = "snake_case")]
    pub enum DocumentReply {
        /// There is no newer document.
        Current,
        /// The full text of the document.
        Whole(String),
        /// The changes of the manifest since the requester's revision, oldest first.
        Manifest(Vec<ManifestDelta>),
        /// The changes of the VM list since the requester's revision, oldest first.
        Vms(Vec<VmsDelta>),
    }
}

message! {
    /// Announces chunks that the sender can serve from now on.
    pub struct Announcement {
        /// The sender.
        pub from: VmId,
        /// Digest of the chunk list.
        pub list: Digest,
        /// Positions in the list.
        pub chunks: Vec<u32>,
    }
}

message! {
    /// State of an agent's endpoint.
    pub struct EndpointState {
        /// The agent's VM.
        pub vm: VmId,
        /// The agent's incarnation.
        pub incarnation: Incarnation,
        /// What the endpoint currently serves, as reported by the engine.
        pub serving: Option<Serving>,
        /// Whether the agent accepts new requests.
        pub accepting: bool,
        /// The endpoint's load.
        pub load: Load,
        /// Milliseconds since the agent started, by its own clock.
        #[serde(default)]
        pub clock: u64,
    }
}

message! {
    /// What an endpoint serves.
    pub struct Serving {
        /// The service.
        pub service: ServiceId,
        /// The rollout, for models.
        pub rollout: Option<RolloutId>,
        /// The release, for models.
        pub release: Option<ReleaseId>,
    }
}

message! {
    /// Load of an endpoint.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests in progress, from all entries.
        pub busy: u32,
        /// Maximum number of requests in progress.
        pub slots: u32,
    }
}
