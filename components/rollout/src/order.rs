//! Orders to an engine.

use base::{Fence, ReleaseId, message};

message! {
    /// An order; an engine that checks fencing numbers refuses any lower than the highest it saw.
    #[derive(Eq)]
    pub struct Order {
        /// What to do.
        pub order: OrderKind,
        /// The release that it is about.
        pub release: ReleaseId,
        /// The fencing number.
        pub fence: Fence,
    }
}

message! {
    /// Kinds of order.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum OrderKind {
        /// Make room for the chunks of a release.
        Prepare,
        /// Serve the prepared release, all of whose chunks are there.
        Activate,
        /// Drop what was prepared.
        Abort,
        /// Serve nothing.
        Unload,
    }
}

impl OrderKind {
    /// The order's name in the audit trail.
    pub fn as_str(self) -> &'static str {
        match self {
            OrderKind::Prepare => "prepare",
            OrderKind::Activate => "activate",
            OrderKind::Abort => "abort",
            OrderKind::Unload => "unload",
        }
    }
}
