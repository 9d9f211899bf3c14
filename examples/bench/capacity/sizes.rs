//! Fleet sizes for the estimates.

/// Counts and rates of a fleet.
pub struct FleetSize {
    /// Name in the heading of its table.
    pub name: &'static str,
    /// Number of entries.
    pub entries: f64,
    /// Number of agents.
    pub agents: f64,
    /// Number of availability zones.
    pub zones: f64,
    /// Number of rollouts.
    pub rollouts: f64,
    /// Number of workspaces.
    pub workspaces: f64,
    /// Number of VMs of the largest rollout.
    pub replicas: f64,
    /// Requests per second at the peak, over all entries.
    pub requests: f64,
    /// Requests in progress at the peak, over all entries.
    pub streams: f64,
    /// Changes of the manifest per day.
    pub changes: f64,
    /// VMs that are added or removed per day.
    pub churn: f64,
}

/// The larger one of today's fleets; its rates are assumed, not measured.
pub const TODAY: FleetSize = FleetSize {
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

/// The largest fleet that the design has to support.
pub const DESIGNED: FleetSize = FleetSize {
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
