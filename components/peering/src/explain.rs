//! The question where a request would be sent now, and its answer. Both are sent as JSON, as operators
//! read the answer.

use std::fmt;

use base::{ServiceId, WorkspaceId, Zone};
use serde::{Deserialize, Serialize};

/// Asks a gateway where it would send a request.
#[derive(Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ExplainQuery {
    /// Host name of the request.
    pub host: String,
    /// Path of the request.
    pub path: String,
    /// API key of the caller.
    pub key: Option<String>,
    /// Workspace of the caller, in place of a key.
    pub workspace: Option<WorkspaceId>,
    /// Prompt tokens and maximum answer tokens.
    pub tokens: Option<(u32, u32)>,
}

impl fmt::Debug for ExplainQuery {
    /// Leaves the key out.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let ExplainQuery { host, path, workspace, tokens, .. } = self;
        write!(f, "ExplainQuery {{ {host} {path} {workspace:?} {tokens:?} }}")
    }
}

/// Where a gateway would send a request, and why.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainAnswer {
    /// Availability zone of the gateway.
    pub zone: Zone,
    /// Version of the configuration in force.
    pub config: u64,
    /// Name of the route.
    pub route: String,
    /// Workspace of the caller.
    pub workspace: Option<WorkspaceId>,
    /// The services among which the route divides its requests.
    pub services: Vec<ExplainedService>,
}

/// What happens to requests that go to one of the services of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedService {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: u32,
    /// What would be done.
    pub decision: ExplainedDecision,
    /// The endpoints of the service, the best first.
    pub endpoints: Vec<ExplainedEndpoint>,
}

/// What would be done with a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ExplainedDecision {
    /// It is sent to an endpoint.
    Send {
        /// The endpoint's id.
        endpoint: String,
    },
    /// It waits.
    Wait,
    /// It is refused.
    Refuse {
        /// Why it is refused.
        reason: String,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What an endpoint is worth to a request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ExplainedEndpoint {
    /// The endpoint's id.
    pub id: String,
    /// Its availability zone.
    pub zone: Zone,
    /// Why the request may not be sent to it; `None` if it may.
    pub excluded: Option<String>,
    /// Its prediction, unless that was not made.
    pub suitability: Option<ExplainedSuitability>,
}

/// How well an endpoint suits a request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ExplainedSuitability {
    /// Predicted time until the first event, in milliseconds.
    pub expected_ms: f64,
    /// Predicted time with all penalties, in milliseconds. The lowest one is chosen.
    pub cost_ms: f64,
    /// Penalty for the way to another zone, in milliseconds.
    pub distance_ms: f64,
    /// Penalty for failures, in milliseconds.
    pub failure_ms: f64,
    /// Whether it can meet the objective.
    pub meets_objective: bool,
    /// Whether it has capacity for a request that misses its objective.
    pub has_late_capacity: bool,
    /// Whether the limit that it names, if it does, leaves the gateway a request.
    pub has_token: bool,
}
