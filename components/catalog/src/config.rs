//! The configuration that operators write: routes, services, workspaces and limits.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use base::{ServiceId, WorkspaceId, Zone, number};

use crate::EngineProfile;

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
    pub limits: RequestLimits,
}

/// How often a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// It may be repeated.
    Idempotent,
    /// It runs at most once.
    AtMostOnce,
    /// Its answer is a stream of events.
    Stream {
        /// Whether another endpoint may go on after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Whether an attempt that may have run can be followed by another.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Whether the answer is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
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
    pub path_prefix: Arc<str>,
    /// How often a request may run.
    pub kind: RouteKind,
    /// Longest time that a caller is kept waiting for the whole answer.
    pub timeout: Duration,
    /// Time within which the answer, or its first event, is due.
    pub target_latency: Duration,
    /// Longest pause between two events of a stream.
    pub target_event_gap: Option<Duration>,
    /// Its rank.
    pub priority: Priority,
    /// Services that may run it; never empty.
    pub destinations: Vec<Destination>,
    /// Most endpoints that one request is sent to.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub allow_anonymous: bool,
}

/// A service.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// Most connections that one endpoint accepts from all processes.
    pub max_connections: Option<u32>,
    /// The figures of its engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// Where weights are read from first, if the service is the origin of weights.
    pub origin: Option<SocketAddr>,
    /// The origin's zone.
    pub origin_zone: Option<Zone>,
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
pub struct RequestLimits {
    /// Most bytes of a request's head.
    pub max_header_bytes: usize,
    /// Most bytes of a request's body.
    pub max_body_bytes: usize,
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Longest time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 16 << 10,
            max_body_bytes: 4 << 20,
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
            routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Where weights are read from first.
    pub fn weights_origin(&self) -> Option<(SocketAddr, Option<&Zone>)> {
        let mut origins =
            self.services.values().filter_map(|s| Some((s.origin?, s.origin_zone.as_ref())));
        origins.next()
    }

    /// Whether every request of a service can be sent to a second endpoint after it began at one.
    pub fn is_resumable(&self, service: &ServiceId) -> bool {
        let targets_service = |route: &&Arc<Route>| {
            route.destinations.iter().any(|destination| destination.service == *service)
        };
        let mut routes = self.routes.values().flatten().filter(targets_service);
        routes.all(|route| route.kind.is_retryable() && route.max_attempts > 1)
    }
}

#[cfg(test)]
mod tests;
