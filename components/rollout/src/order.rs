//! Orders sent to an engine.

use base::{Fence, ReleaseId, message};

message! {
    /// An order. An engine that checks fencing numbers refuses an order whose number is below the
    /// highest it has seen.
    #[derive(Eq)]
    pub struct Order {
        /// The kind of order.
        pub order: OrderKind,
        /// The release that the order applies to.
        pub release: ReleaseId,
        /// The fencing number of the order.
        pub fence: Fence,
    }
}

message! {
    /// The kinds of order.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderKind {
        /// Allocate space for the chunks of a release.
        Prepare,
        /// Serve the prepared release, all of whose chunks are loaded.
        Activate,
        /// Discard the prepared release.
        Abort,
        /// Stop serving.
        Unload,
    }
}

impl OrderKind {
    /// The name of the kind in the audit trail.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Prepare => "prepare",
            OrderKind::Activate => "activate",
            OrderKind::Abort => "abort",
            OrderKind::Unload => "unload",
        }
    }
}
