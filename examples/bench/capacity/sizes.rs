//! Sizes of fleets.

/// A fleet.
pub struct Size {
    /// Its name.
    pub name: &'static str,
    /// Entries.
    pub entries: f64,
    /// Agents.
    pub agents: f64,
    /// Availability zones.
    pub zones: f64,
    /// Rollouts.
    pub rollouts: f64,
    /// Workspaces.
    pub workspaces: f64,
    /// VMs of the largest rollout.
    pub replicas: f64,
    /// Requests a second at the peak, over all entries.
    pub requests: f64,
    /// Requests in progress at the peak, over all entries.
    pub streams: f64,
    /// Changes of the manifest a day.
    pub changes: f64,
    /// VMs that come or go a day.
    pub churn: f64,
}

/// The larger of the fleets of today; rates are assumed.
pub const TODAY: Size = Size {
    name: "Today",
    entries: 4.0,
    agents: 20.0,
    zones: 3.0,
    rollouts: 5.0,
    workspaces: 10.0,
    replicas: 16.0,
    requests: 50.0,
    streams: 200.0,
    changes: 200.0,
    churn: 10.0,
};

/// The size to design for.
pub const DESIGNED: Size = Size {
    name: "Designed",
    entries: 960.0,
    agents: 12_000.0,
    zones: 19.0,
    rollouts: 2_400.0,
    workspaces: 400.0,
    replicas: 560.0,
    requests: 52_000.0,
    streams: 960_000.0,
    changes: 12_000.0,
    churn: 840.0,
};
