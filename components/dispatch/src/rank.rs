//! The order in which requests get an endpoint.

use std::fmt;

use catalog::Priority;

/// How urgent a request is. The smallest comes first: the priority of the workspace, or of the route if
/// the workspace has none, and among equal ones the priority of the route.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Priority of the workspace or, without one, of the route; 0 is the most urgent.
    priority: u8,
    /// Priority of the route; 0 is the most urgent.
    route: u8,
}

impl Urgency {
    /// The urgency of the requests of a workspace on a route.
    pub fn new(workspace: Option<Priority>, route: Priority) -> Urgency {
        Urgency { priority: workspace.unwrap_or(route).0, route: route.0 }
    }
}

impl fmt::Display for Urgency {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.priority, self.route)
    }
}

/// Rank of a waiting request; the smallest comes first. Among equally urgent requests one that was
/// refused before comes last: it is late in any case.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// How urgent the request is.
    pub urgency: Urgency,
    /// Whether its caller was refused before.
    pub was_refused: bool,
}
