//! The operator's configuration: routes, services, workspaces and limits.

use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use base::{Rate, Region, ServiceId, WorkspaceId, Zone, number};

use crate::{EngineProfile, Homes};

number! {
    /// Version number of a configuration. A higher version replaces a lower one.
    ConfigVersion(u64)
}
number! {
    /// Priority of a route or workspace. 0 is the most urgent.
    Priority(u8)
}

/// Secret API key of a caller. `Debug` does not print it.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct ApiKey(pub Arc<str>);

impl std::fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// One complete version of the configuration.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// Version of the configuration.
    pub version: ConfigVersion,
    /// Routes by lower-case host name. The routes of a host are sorted by prefix, longest first.
    routes: HashMap<Arc<str>, Vec<Arc<Route>>>,
    /// Services by name.
    pub services: HashMap<ServiceId, Arc<Service>>,
    /// Workspaces by API key. `None` if callers need no key at all.
    pub workspaces: Option<HashMap<ApiKey, Arc<Workspace>>>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
}

/// Execution guarantee and response type of the requests of a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests may be retried.
    Idempotent,
    /// Requests run at most once.
    AtMostOnce,
    /// Responses are streams of events.
    Stream {
        /// Whether another endpoint may resume the stream after the last event that arrived.
        resumable: bool,
    },
}

impl RouteKind {
    /// Returns whether a request may be retried after an attempt that may have run.
    pub fn is_retryable(self) -> bool {
        matches!(self, RouteKind::Idempotent | RouteKind::Stream { resumable: true })
    }

    /// Returns whether the response is a stream.
    pub fn is_stream(self) -> bool {
        matches!(self, RouteKind::Stream { .. })
    }
}

/// Minimum time without an event after which a caller abandons a stream.
const MIN_CALLER_PATIENCE: Duration = Duration::from_secs(2);
/// Number of latency targets without an event after which a caller abandons a stream.
const PATIENCE_LATENCIES: u32 = 4;
/// Number of target event gaps without an event after which a caller abandons a stream.
const PATIENCE_EVENT_GAPS: u32 = 8;

/// Service that receives a share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other destinations of the route.
    pub weight: u32,
}

/// Rule for the requests to one host and path prefix.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host name in lower case.
    pub host: Arc<str>,
    /// Path prefix. Begins and ends with a slash.
    pub path_prefix: Arc<str>,
    /// Execution guarantee and response type.
    pub kind: RouteKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Target time until the response, or the first event of a stream.
    pub target_latency: Duration,
    /// Target for the longest pause between two events of a stream.
    pub target_event_gap: Option<Duration>,
    /// Priority of its requests.
    pub priority: Priority,
    /// Services that may run its requests. Never empty.
    pub destinations: Vec<Destination>,
    /// Maximum number of endpoints to which one request is sent, the first attempt included.
    pub max_attempts: u32,
    /// Whether callers without an API key are admitted.
    pub allow_anonymous: bool,
    /// Regions in which its requests may be served.
    pub homes: Homes,
}

impl Route {
    /// Returns the time without an event after which a caller abandons a stream, the first event
    /// included. `None` if the response is not a stream.
    pub fn caller_patience(&self) -> Option<Duration> {
        if !self.kind.is_stream() {
            return None;
        }
        let by_latency = self.target_latency * PATIENCE_LATENCIES;
        let by_gap = self.target_event_gap.unwrap_or_default() * PATIENCE_EVENT_GAPS;
        Some(MIN_CALLER_PATIENCE.max(by_latency).max(by_gap))
    }
}

/// What an endpoint accepts for a time after its start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdStart {
    /// Time after its start for which an endpoint is cold.
    pub time: Duration,
    /// Maximum rate of requests to a cold endpoint, from all processes together.
    pub request_rate: Rate,
}

/// Published delay of the network between two availability zones.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneDelay {
    /// The two zones, in any order.
    pub zones: [Zone; 2],
    /// Time that data takes from one to the other.
    pub delay: Duration,
}

impl ZoneDelay {
    /// Returns the other zone and the delay to it if `zone` is one of the two.
    pub fn from_zone(&self, zone: &Zone) -> Option<(&Zone, Duration)> {
        let [a, b] = &self.zones;
        match zone {
            zone if zone == a => Some((b, self.delay)),
            zone if zone == b => Some((a, self.delay)),
            _ => None,
        }
    }
}

/// Group of endpoints that run the same requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections that one endpoint accepts from all processes together.
    pub max_connections: Option<u32>,
    /// What its endpoints accept while they are cold. `None` if they start at full capacity.
    pub cold_start: Option<ColdStart>,
    /// Profile of its engines. `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// Delays of the network between the zones of its engines.
    pub zone_delays: Vec<ZoneDelay>,
    /// Address from which weights are downloaded first, if the service is the origin of weights.
    pub origin: Option<SocketAddr>,
    /// Availability zone of the origin.
    pub origin_zone: Option<Zone>,
}

/// Group of callers that share API keys and a priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Priority of its requests. Overrides that of the route.
    pub priority: Option<Priority>,
    /// Regions in which its requests may be served. Those of the route bind as well.
    pub homes: Homes,
}

/// Limits on callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum time until a request head has arrived.
    pub header_timeout: Duration,
    /// Maximum time that a connection stays open without a request.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> RequestLimits {
        RequestLimits {
            max_header_bytes: 32 << 10,
            max_body_bytes: 4 << 20,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

impl Config {
    /// Creates a configuration with these routes. Several routes may share a host.
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

    /// Returns the route of `host` with the longest prefix of `path`. Ignores the port and the case of
    /// `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.routes.get(host) {
            Some(routes) => routes,
            None => self.routes.get(host.to_ascii_lowercase().as_str())?,
        };
        routes.iter().find(|route| path.starts_with(&*route.path_prefix))
    }

    /// Returns the number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.values().map(Vec::len).sum()
    }

    /// Returns all regions to which a route or a workspace binds requests.
    pub fn home_regions(&self) -> BTreeSet<Region> {
        let of_routes = self.routes.values().flatten().map(|route| &route.homes);
        let workspaces = self.workspaces.iter().flat_map(HashMap::values);
        let of_workspaces = workspaces.map(|workspace| &workspace.homes);
        of_routes.chain(of_workspaces).flat_map(Homes::regions).cloned().collect()
    }

    /// Returns the address and zone from which weights are downloaded first.
    pub fn weights_origin(&self) -> Option<(SocketAddr, Option<&Zone>)> {
        let mut origins =
            self.services.values().filter_map(|s| Some((s.origin?, s.origin_zone.as_ref())));
        origins.next()
    }

    /// Returns whether every request of a service can be sent to a second endpoint after it started
    /// running on one.
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
