//! Messages about processes, documents and endpoints.

use base::{Digest, Incarnation, ReleaseId, Revision, RolloutId, ServiceId, VmId, message};
use manifest::{ManifestDelta, VmsDelta};

message! {
    /// What a process says of itself and of others, in a call and in its reply.
    pub struct Gossip {
        /// The sender.
        pub from: VmId,
        /// The sender's run.
        pub incarnation: Incarnation,
        /// Revision of the manifest that the sender has in force.
        pub manifest: Revision,
        /// Revision of the VM list that the sender has in force.
        pub vms: Revision,
        /// Milliseconds since that VM list was known to be the newest, if it ever was.
        #[serde(default)]
        pub vms_age_ms: Option<u64>,
        /// News about members; bounded in number.
        pub members: Vec<Member>,
    }
}

message! {
    /// What is known of one process.
    pub struct Member {
        /// Its VM.
        pub vm: VmId,
        /// Its run; news about an older run is dropped.
        pub incarnation: Incarnation,
        /// What it is thought to be.
        pub state: MemberState,
        /// Counts the changes that the process stated of itself in this run; higher wins.
        pub beat: u64,
        /// The release that its endpoint serves and takes work for, for agents beside model engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub serving: Option<ReleaseId>,
        /// The release that the manifest in force there wants of its rollout.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub wants: Option<ReleaseId>,
        /// Revision of the manifest under which the process stated this of its rollout.
        #[serde(default)]
        pub manifest: Revision,
        /// How that release fared there.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub verdict: Option<Verdict>,
    }
}

message! {
    /// How a release fared on one endpoint.
    #[derive(Eq)]
    pub struct Verdict {
        /// The release.
        pub release: ReleaseId,
        /// How it fared.
        pub outcome: TrialOutcome,
    }
}

message! {
    /// Ends of a trial.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum TrialOutcome {
        /// It served for the soak time.
        Passed,
        /// The engine refused it, or crashed on it.
        Failed,
    }
}

message! {
    /// States of a process in the eyes of the others.
    #[derive(Copy, Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MemberState {
        /// It answers.
        Alive,
        /// It did not answer; it may refute this.
        Suspect,
        /// It said that it stops.
        Leaving,
        /// It did not refute the suspicion in time.
        Dead,
    }
}

message! {
    /// The documents that spread from process to process.
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
    /// Asks for a newer document.
    pub struct DocumentRequest {
        /// Which document.
        pub kind: DocumentKind,
        /// The revision that the sender has; 0 asks for the whole document.
        pub have: Revision,
    }
}

message! {
    /// What a peer has for the one who asks for a newer document.
    #[serde(rename_all = "snake_case")]
    pub enum DocumentReply {
        /// Nothing newer.
        Current,
        /// The whole document.
        Whole(String),
        /// The changes of the manifest since the revision that the asker has, oldest first.
        Manifest(Vec<ManifestDelta>),
        /// The changes of the VM list since the revision that the asker has, oldest first.
        Vms(Vec<VmsDelta>),
    }
}

message! {
    /// Chunks that the sender can give from now on.
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
    /// What an agent states about its endpoint.
    pub struct EndpointState {
        /// The agent's VM.
        pub vm: VmId,
        /// The agent's run.
        pub incarnation: Incarnation,
        /// What the endpoint serves now, by the engine's own statement.
        pub serving: Option<Serving>,
        /// Whether the agent takes new work.
        pub accepting: bool,
        /// The endpoint's load.
        pub load: Load,
        /// Milliseconds since the agent's run began, by its own clock.
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
        /// Requests in progress, over all entries.
        pub busy: u32,
        /// Most requests in progress.
        pub slots: u32,
    }
}
