//! Where knowledge of the store comes from, for the log.

use std::fmt;

use platform::store::StorePosition;

use crate::change_source::ChangeSource;

/// What made this gateway apply a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ChangeOrigin {
    /// It was learned.
    Learned {
        /// From whom.
        source: ChangeSource,
        /// Position up to which the answer goes that told it.
        position: StorePosition,
    },
    /// The time ended for which the entry of an endpoint was kept or set aside.
    Timer,
}

impl ChangeOrigin {
    pub(crate) fn learned(source: ChangeSource, position: StorePosition) -> ChangeOrigin {
        ChangeOrigin::Learned { source, position }
    }
}

impl fmt::Display for ChangeOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ChangeOrigin::Learned { source, position } => write!(f, "{source}@{position}"),
            ChangeOrigin::Timer => f.write_str("timer"),
        }
    }
}
