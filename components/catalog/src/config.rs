//! The configuration that operators write: routes, services, workspaces and limits.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{ServiceId, WorkspaceId, Zone, number};

use crate::EngineFigures;

number! {
    /// Counts the configurations; a higher one replaces a lower one.
    ConfigVersion(u64)
}
number! {
    /// Rank of a route or workspace; 0 is the most urgent.
    Priority(u8)
}

/// A caller's secret.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(pub Arc<str>);

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// One configuration as a whole.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Its version.
    pub version: ConfigVersion,
    /// Routes by host in lower case; for each host the longest prefix first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Workspaces by key; `None` if callers need no key at all.
    pub workspaces: Option<HashMap<ApiKey, Arc<Workspace>>>,
    /// Bounds of what callers may send.
    pub limits: Limits,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// It may be repeated.
    Idempotent,
    /// It runs at most once.
    Once,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event that arrived.
        resumable: bool,
    },
}

impl Kind {
    /// Whether an attempt that may have run can be followed by another.
    pub fn repeatable(self) -> bool {
        matches!(self, Kind::Idempotent | Kind::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Kind::Stream { .. })
    }
}

/// A service that a route leads to, and its part of the requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Its part, against those of the route's other destinations.
    pub weight: u32,
}

/// Requests that are treated alike.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Its name.
    pub name: Arc<str>,
    /// The host that callers name, in lower case.
    pub host: Arc<str>,
    /// How the path begins; it begins and ends with a slash.
    pub prefix: Arc<str>,
    /// How often a request may run.
    pub kind: Kind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, is due.
    pub objective: Duration,
    /// Longest pause between two events of a stream.
    pub gap: Option<Duration>,
    /// Its rank.
    pub priority: Priority,
    /// Services that may run it; never empty.
    pub destinations: Vec<Destination>,
    /// Most endpoints that one request is sent to.
    pub attempts: u32,
    /// Whether callers need no key.
    pub anonymous: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Most connections that one endpoint accepts from all processes.
    pub connections: Option<u32>,
    /// The figures of its engines; `None` for a plain service.
    pub engine: Option<EngineFigures>,
    /// Where weights are read from first, if the service is the origin of weights.
    pub origin: Option<SocketAddr>,
    /// The origin's zone.
    pub zone: Option<Zone>,
}

/// A group of callers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Its rank, which goes before that of the route.
    pub priority: Option<Priority>,
}

/// Bounds of what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Most bytes of a request's head.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

impl Config {
    /// A configuration with these routes, of which any number may share a host.
    pub fn new(version: ConfigVersion, routes: Vec<Route>) -> Config {
        let mut by_host: HashMap<Arc<str>, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host.entry(route.host.clone()).or_default().push(Arc::new(route));
        }
        for routes in by_host.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        Config { version, routes: by_host, ..Config::default() }
    }

    /// The route with the longest prefix of `path` among those of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Where weights are read from first.
    pub fn origin(&self) -> Option<(SocketAddr, Option<&Zone>)> {
        let mut origins = self.services.values().filter_map(|s| Some((s.origin?, s.zone.as_ref())));
        origins.next()
    }

    /// Whether every request of a service can be sent to a second endpoint after it began at one.
    pub fn is_resumable(&self, service: &ServiceId) -> bool {
        let leads_there = |route: &&Arc<Route>| {
            route.destinations.iter().any(|destination| destination.service == *service)
        };
        let mut routes = self.routes.values().flatten().filter(leads_there);
        routes.all(|route| route.kind.repeatable() && route.attempts > 1)
    }
}

#[cfg(test)]
mod tests;
