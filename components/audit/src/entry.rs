//! Audit trail entries.

use base::{Fence, ReleaseId, Revision, VmId, message};

message! {
    /// One entry of the audit trail.
    pub struct AuditEntry {
        /// Sequence number in the trail of this process, increasing by one.
        pub seq: u64,
        /// Wall-clock time in milliseconds since the Unix epoch.
        pub time_ms: u64,
        /// Revision of the manifest that was active at that time.
        pub revision: Revision,
        /// What changed.
        pub change: Change,
        /// Why it changed.
        pub cause: String,
    }
}

message! {
    /// A recorded change.
    #[serde(tag = "kind", rename_all = "snake_case")]
    pub enum Change {
        /// A new manifest became active.
        ManifestAccepted {
            /// Its revision.
            manifest: Revision,
        },
        /// A manifest was rejected; the active one stays.
        ManifestRefused {
            /// Its digest.
            digest: String,
        },
        /// A new VM list became active.
        VmsAccepted {
            /// Its revision.
            vms: Revision,
        },
        /// An order was sent to the engine.
        Order {
            /// The order's name.
            order: String,
            /// The release that the order is about, if any.
            release: Option<ReleaseId>,
            /// Its fencing number.
            fence: Fence,
            /// Whether the engine accepted it.
            accepted: bool,
        },
        /// The endpoint started to serve a release.
        Ready {
            /// The release.
            release: ReleaseId,
        },
        /// A release was abandoned for another one before it was ready.
        Superseded {
            /// The release.
            release: ReleaseId,
        },
        /// The rollout of a release was halted because the first VMs that switched to it failed.
        Halted {
            /// The release.
            release: ReleaseId,
        },
        /// A newer process controls the engine; this one no longer sends orders.
        SteppedDown {
            /// The highest fencing number that was seen.
            fence: Fence,
        },
        /// The process was suspended for a while. It queries its peers and the engine before it acts
        /// again.
        Paused,
        /// An endpoint was added to routing.
        RoutedIn {
            /// Its VM.
            vm: VmId,
        },
        /// An endpoint was removed from routing.
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
        /// The process began a graceful shutdown.
        Draining,
    }
}

impl Change {
    /// Returns the name of the change's kind, as written to logs and metrics.
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

    /// Returns the subject of the change, as written to the log.
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
