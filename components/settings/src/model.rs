//! The shape of the settings file.

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
    /// Address for chunks and answer streams between processes.
    pub data: SocketAddr,
    /// The secret that all processes of the fleet share.
    pub peer_key: PeerKey,
    /// Where the platform answers.
    pub platform: PlatformSettings,
    /// Longest time that a planned stop waits for requests in progress.
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
    /// Configuration service, tried in order.
    pub config: Vec<SocketAddr>,
    /// VM list, tried in order.
    pub vms: Vec<SocketAddr>,
    /// Weight store.
    pub store: SocketAddr,
    /// Origin of weights.
    pub origin: SocketAddr,
}

/// Settings of an entry.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntrySettings {
    /// Address that callers reach through the platform's balancer.
    pub callers: SocketAddr,
    /// Most connections open at a time.
    pub connections: usize,
    /// Largest accepted request body.
    pub body: ByteSize,
    /// Longest wait for a caller to send or take the next bytes.
    pub idle: Timeout,
    /// Deadline of a request whose caller sets none.
    pub deadline: Timeout,
    /// Endpoints that this entry keeps in use for each service.
    pub subset: usize,
    /// How an endpoint of the subset is picked.
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
    /// Address of the endpoint beside the agent.
    pub endpoint: SocketAddr,
    /// What the endpoint is.
    pub kind: EndpointKind,
    /// The plain service that the endpoint runs, if it is one.
    pub service: Option<ServiceId>,
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// Rate of the VM's link, in and out together.
    pub link: ByteRate,
    /// Most memory for chunks.
    pub memory: ByteSize,
    /// Most requests in progress at the endpoint.
    pub slots: usize,
    /// Time after a start, or after a change of the VM list, for which a caller's idempotency key
    /// that is not known here counts as perhaps used elsewhere. Less than the default weakens what
    /// is promised.
    pub handover: Timeout,
    /// How weights spread; the same on all VMs.
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

/// How the chunks of a version spread over the VMs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Strategy {
    /// Along a tree for each chunk.
    Tree,
    /// Among neighbours, the rarest chunk first.
    Rarest,
    /// All VMs read all chunks from the origin.
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

/// Text that is not a strategy.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("strategy {0:?} does not exist: use tree, rarest or origin")]
pub struct UnknownStrategy(pub String);

/// The kinds of endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointKind {
    /// A model engine that takes orders.
    Model,
    /// A plain service.
    Plain,
}

/// Whether an engine refuses orders with an old fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Fencing {
    /// The engine refuses them.
    Checked,
    /// The engine ignores fencing numbers.
    Ignored,
}

/// The ways to pick an endpoint.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The less loaded of two random endpoints, in the own zone first.
    #[default]
    P2c,
    /// A random endpoint; for comparisons.
    Random,
    /// Each endpoint in turn; for comparisons.
    RoundRobin,
}

impl RoutingPolicy {
    /// The name in settings.
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

/// The secret of the fleet; never printed.
#[derive(Clone, PartialEq, Eq, Deserialize)]
#[serde(transparent)]
pub struct PeerKey(String);

impl PeerKey {
    /// A key from its text.
    pub fn new(key: impl Into<String>) -> PeerKey {
        PeerKey(key.into())
    }

    /// The key's bytes.
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }

    /// The key's text, for the header that carries it.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl std::fmt::Debug for PeerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("PeerKey(..)")
    }
}
