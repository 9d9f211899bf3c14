//! Entries of the audit trail.

use base::{Fence, ReleaseId, Revision, VmId, message};

message! {
    /// One entry of the trail.
    pub struct AuditEntry {
        /// Position in the trail of this process; grows by one.
        pub seq: u64,
        /// Wall-clock time, in milliseconds since 1970.
        pub time_ms: u64,
        /// Revision of the manifest in force.
        pub revision: Revision,
        /// What changed.
        pub change: Change,
        /// Why it changed.
        pub cause: String,
    }
}

message! {
    /// The kinds of change.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Change {
        /// A manifest came into force.
        ManifestAccepted {
            /// Its revision.
            manifest: Revision,
        },
        /// A manifest was refused; the one in force stays.
        ManifestRefused {
            /// Its digest.
            digest: String,
        },
        /// A VM list came into force.
        VmsAccepted {
            /// Its revision.
            vms: Revision,
        },
        /// An order went to the engine.
        Order {
            /// The order's name.
            order: String,
            /// The release that it names.
            release: Option<ReleaseId>,
            /// Its fencing number.
            fence: Fence,
            /// Whether the engine accepted it.
            accepted: bool,
        },
        /// The endpoint began to serve a release.
        Ready {
            /// The release.
            release: ReleaseId,
        },
        /// A release was given up before it was ready.
        Superseded {
            /// The release.
            release: ReleaseId,
        },
        /// A release was halted because its first VMs failed on it.
        Halted {
            /// The release.
            release: ReleaseId,
        },
        /// A later process gives the engine its orders; this one gives none any more.
        SteppedDown {
            /// The highest fencing number that was seen.
            fence: Fence,
        },
        /// The process did not run for a while; it asks peers and the engine before it acts.
        Paused,
        /// An endpoint came into routing.
        RoutedIn {
            /// Its VM.
            vm: VmId,
        },
        /// An endpoint went out of routing.
        RoutedOut {
            /// Its VM.
            vm: VmId,
        },
        /// A request's fingerprint was quarantined.
        Quarantined {
            /// The fingerprint.
            fingerprint: String,
        },
        /// A quarantine ended.
        Released {
            /// The fingerprint.
            fingerprint: String,
        },
        /// The process began a planned stop.
        Draining,
    }
}

impl Change {
    /// The kind's name, as in the log.
    pub fn kind(&self) -> &'static str {
        match self {
            Change::ManifestAccepted { .. } => "manifest_accepted",
            Change::ManifestRefused { .. } => "manifest_refused",
            Change::VmsAccepted { .. } => "vms_accepted",
            Change::Order { .. } => "order",
            Change::Ready { .. } => "ready",
            Change::Superseded { .. } => "superseded",
            Change::Halted { .. } => "halted",
            Change::SteppedDown { .. } => "stepped_down",
            Change::Paused => "paused",
            Change::RoutedIn { .. } => "routed_in",
            Change::RoutedOut { .. } => "routed_out",
            Change::Quarantined { .. } => "quarantined",
            Change::Released { .. } => "released",
            Change::Draining => "draining",
        }
    }

    /// What the change is about, as in the log.
    pub fn subject(&self) -> String {
        match self {
            Change::ManifestAccepted { manifest } => manifest.to_string(),
            Change::ManifestRefused { digest } => digest.clone(),
            Change::VmsAccepted { vms } => vms.to_string(),
            Change::Order { order, release, fence, accepted } => {
                let release = release.as_ref().map_or("-", |r| r.as_str());
                format!("{order}:{release}:fence={fence}:accepted={accepted}")
            }
            Change::Ready { release }
            | Change::Superseded { release }
            | Change::Halted { release } => release.to_string(),
            Change::RoutedIn { vm } | Change::RoutedOut { vm } => vm.to_string(),
            Change::Quarantined { fingerprint } | Change::Released { fingerprint } => {
                fingerprint.clone()
            }
            Change::SteppedDown { fence } => fence.to_string(),
            Change::Paused | Change::Draining => String::new(),
        }
    }
}
