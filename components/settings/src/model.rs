//! The data model of the settings file.

use std::{net::SocketAddr, time::Duration};

use base::{ByteRate, ByteSize, Region, ServiceId, Timeout, VmId, Zone};
use serde::Deserialize;

use crate::SettingsError;

/// The settings of one process.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The VM that the process runs on.
    pub vm: VmId,
    /// The VM's availability zone.
    pub zone: Zone,
    /// The zone's region.
    pub region: Region,
    /// Address for JSON-RPC between processes and from operators.
    pub control: SocketAddr,
    /// Address for chunks and response streams between processes.
    pub data: SocketAddr,
    /// Shared secret that authenticates the processes of the fleet to each other.
    pub peer_key: PeerKey,
    /// Addresses of the platform's services.
    pub platform: PlatformSettings,
    /// Maximum time that a graceful shutdown waits for requests in progress.
    #[serde(default = "drain")]
    pub drain: Timeout,
    /// Present in the settings of an entry.
    #[serde(default)]
    pub entry: Option<EntrySettings>,
    /// Present in the settings of an agent.
    #[serde(default)]
    pub agent: Option<AgentSettings>,
}

fn drain() -> Timeout {
    Timeout(Duration::from_secs(30))
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Addresses of the configuration service, tried in order.
    pub config: Vec<SocketAddr>,
    /// Addresses that serve the VM list, tried in order.
    pub vms: Vec<SocketAddr>,
    /// Address of the weight store.
    pub store: SocketAddr,
    /// Address of the origin server for weights.
    pub origin: SocketAddr,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Listen address for callers, who reach it through the platform's load balancer.
    pub callers: SocketAddr,
    /// Maximum number of open connections.
    pub connections: usize,
    /// Maximum size of a request body.
    pub body: ByteSize,
    /// Idle timeout: maximum time that a caller may take to send or receive the next bytes.
    pub idle: Timeout,
    /// Default deadline for requests that do not set one.
    pub deadline: Timeout,
    /// Number of endpoints that this entry uses for each service.
    pub subset: usize,
    /// Policy that picks an endpoint from the subset.
    pub policy: RoutingPolicy,
}

impl Default for EntrySettings {
    fn default() -> EntrySettings {
        EntrySettings {
            callers: SocketAddr::from(([127, 0, 0, 1], 8080)),
            connections: 2048,
            body: ByteSize(4 << 20),
            idle: Timeout(Duration::from_secs(30)),
            deadline: Timeout(Duration::from_secs(120)),
            subset: 16,
            policy: RoutingPolicy::default(),
        }
    }
}

/// Settings of an agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct AgentSettings {
    /// Address of the agent's local endpoint.
    pub endpoint: SocketAddr,
    /// Kind of the endpoint.
    pub kind: EndpointKind,
    /// The plain service that the endpoint runs. Only set for plain endpoints.
    pub service: Option<ServiceId>,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// Bandwidth of the VM's network link, inbound and outbound combined.
    pub link: ByteRate,
    /// Maximum memory for cached chunks.
    pub memory: ByteSize,
    /// Maximum number of concurrent requests at the endpoint.
    pub slots: usize,
    /// Time after a start or a change of the VM list during which an unknown idempotency key is
    /// treated as possibly used on another VM. A value below the default weakens the guarantee
    /// that a request with an idempotency key runs at most once.
    pub handover: Timeout,
    /// How weights are distributed. Must be the same on all VMs.
    pub strategy: Strategy,
}

impl Default for AgentSettings {
    fn default() -> AgentSettings {
        AgentSettings {
            endpoint: SocketAddr::from(([127, 0, 0, 1], 9000)),
            kind: EndpointKind::Model,
            service: None,
            fencing: Fencing::Checked,
            link: ByteRate(200_000_000),
            memory: ByteSize(128 << 20),
            slots: 64,
            handover: Timeout(Duration::from_secs(240)),
            strategy: Strategy::Rarest,
        }
    }
}

/// How the chunks of a version are distributed to the VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Strategy {
    /// Each chunk is forwarded along its own distribution tree.
    Tree,
    /// VMs exchange chunks with their neighbours, rarest chunk first.
    Rarest,
    /// Each VM reads all chunks from the origin.
    Origin,
}

impl std::str::FromStr for Strategy {
    type Err = UnknownStrategy;

    fn from_str(s: &str) -> Result<Strategy, UnknownStrategy> {
        match s {
            "tree" => Ok(Strategy::Tree),
            "rarest" => Ok(Strategy::Rarest),
            "origin" => Ok(Strategy::Origin),
            other => Err(UnknownStrategy(other.to_owned())),
        }
    }
}

impl std::fmt::Display for Strategy {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Strategy::Tree => "tree",
            Strategy::Rarest => "rarest",
            Strategy::Origin => "origin",
        })
    }
}

/// Error for text that names no strategy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("strategy {0:?} does not exist: use tree, rarest or origin")]
pub struct UnknownStrategy(pub String);

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that accepts orders to load and unload releases.
    Model,
    /// A plain service.
    Plain,
}

/// Whether an engine rejects orders with an outdated fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engine rejects such orders.
    Checked,
    /// The engine ignores fencing numbers.
    Ignored,
}

/// How an endpoint is picked for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The less loaded of two random endpoints (power of two choices), preferring the local zone.
    #[default]
    P2c,
    /// A random endpoint, as a baseline for comparisons.
    Random,
    /// Each endpoint in turn, as a baseline for comparisons.
    RoundRobin,
}

impl RoutingPolicy {
    /// Returns the policy's name in settings files.
    pub fn as_str(self) -> &'static str {
        match self {
            RoutingPolicy::P2c => "p2c",
            RoutingPolicy::Random => "random",
            RoutingPolicy::RoundRobin => "round-robin",
        }
    }
}

impl std::str::FromStr for RoutingPolicy {
    type Err = SettingsError;

    fn from_str(s: &str) -> Result<RoutingPolicy, SettingsError> {
        let all = [RoutingPolicy::P2c, RoutingPolicy::Random, RoutingPolicy::RoundRobin];
        let found = all.into_iter().find(|policy| policy.as_str() == s);
        found.ok_or_else(|| SettingsError::Policy(s.to_owned()))
    }
}

/// The shared secret of the fleet. Its `Debug` output is redacted.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct PeerKey(String);

impl PeerKey {
    /// Creates a key from text.
    pub fn new(key: impl Into<String>) -> PeerKey {
        PeerKey(key.into())
    }

    /// Returns the key as bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// Returns the secret as text, for the authorization header.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
