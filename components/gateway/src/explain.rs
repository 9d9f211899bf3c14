//! Tells operators where a request would be sent now, and why, without sending it.

use std::{rc::Rc, sync::Arc, time::Instant};

use base::WorkspaceId;
use bytes::Bytes;
use catalog::{ApiKey, Config, Destination, Route, Workspace};
use dispatch::{
    Assessment, Decision, Dispatcher, EndpointKey, Explanation, GenerationSize, PendingRequest,
    Rank, Suitability, Urgency,
};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use peering::{
    ExplainAnswer, ExplainQuery, ExplainedDecision, ExplainedEndpoint, ExplainedService,
    ExplainedSuitability, REQUEST_TIMEOUT,
};
use platform::CallerHeaders;
use thiserror::Error;
use tokio::time::timeout;

use crate::{
    request::{Denied, homes_of},
    response::{ResponseBody, own_response},
    shutdown::ShutdownStage,
    state::{Gateway, now},
};

/// Maximum size of a query in bytes.
const MAX_QUERY_BYTES: usize = 16 << 10;
/// Name of an exclusion that is due to the request's zone and not to the endpoint.
const STAYS_IN_ZONE: &str = "stays_in_zone";

/// Reason why a query has no answer.
#[derive(Debug, Error)]
pub(crate) enum ExplainError {
    #[error("the query did not arrive completely within its limits of size and time")]
    Incomplete,
    #[error("invalid query: {0}")]
    Invalid(#[from] serde_json::Error),
    #[error("give either a key or a workspace")]
    KeyAndWorkspace,
    #[error("no API key belongs to workspace {0}; check its name")]
    UnknownWorkspace(WorkspaceId),
    #[error("the gateway would refuse the request at once with status {}: {}", .0.status(), .0.name())]
    Denied(Denied),
}

impl Gateway {
    /// Responds to a query where a request would be sent.
    pub(crate) async fn respond_explain(
        self: &Rc<Gateway>,
        request: Request<Incoming>,
    ) -> Response<ResponseBody> {
        let (status, body) = match self.explain(request).await {
            Ok(body) => (StatusCode::OK, body),
            Err(err) => (StatusCode::BAD_REQUEST, err.to_string().into_bytes()),
        };
        let mut response = own_response(status, None, None);
        *response.body_mut() = ResponseBody::Full(Some(Bytes::from(body)));
        response
    }

    async fn explain(&self, request: Request<Incoming>) -> Result<Vec<u8>, ExplainError> {
        let body = Limited::new(request.into_body(), MAX_QUERY_BYTES).collect();
        let body = timeout(REQUEST_TIMEOUT, body).await.map_err(|_| ExplainError::Incomplete)?;
        let body = body.map_err(|_| ExplainError::Incomplete)?.to_bytes();
        let query: ExplainQuery = serde_json::from_slice(&body)?;
        Ok(serde_json::to_vec(&self.answer(&query, now())?)?)
    }

    fn answer(&self, query: &ExplainQuery, now: Instant) -> Result<ExplainAnswer, ExplainError> {
        if self.shutdown_stage() >= ShutdownStage::Refusing {
            return Err(ExplainError::Denied(Denied::Stopping));
        }
        let config = self.config.borrow().clone().ok_or(ExplainError::Denied(Denied::NotReady))?;
        let path = query.path.split('?').next().unwrap_or_default();
        let route = config.route(&query.host, path);
        let route = route.ok_or(ExplainError::Denied(Denied::NoRoute))?;
        let workspace = self.queried_workspace(&config, route, query)?;
        let workspace = workspace.as_deref();
        let services = used_destinations(&route.destinations).map(|destination| {
            let request = pending_request(query, route, workspace, destination, now);
            let dispatcher = self.dispatcher.borrow();
            let explanation = dispatcher.explain(&request, now);
            explained_service(&dispatcher, destination, &explanation)
        });
        Ok(ExplainAnswer {
            zone: self.process.borrow().zone.clone(),
            config: config.version.0,
            route: route.name.to_string(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            services: services.collect(),
        })
    }

    fn queried_workspace(
        &self,
        config: &Config,
        route: &Route,
        query: &ExplainQuery,
    ) -> Result<Option<Arc<Workspace>>, ExplainError> {
        let key = query.key.as_deref().map(|key| ApiKey(key.into()));
        let Some(name) = &query.workspace else {
            let facts = CallerHeaders { api_key: key, ..CallerHeaders::default() };
            return self.workspace(config, route, &facts).map_err(ExplainError::Denied);
        };
        if key.is_some() {
            return Err(ExplainError::KeyAndWorkspace);
        }
        let mut all = config.workspaces.iter().flatten().map(|(_, workspace)| workspace);
        let found = all.find(|workspace| workspace.name == *name).cloned();
        found.map(Some).ok_or_else(|| ExplainError::UnknownWorkspace(name.clone()))
    }
}

/// The destinations that get requests: those with a weight, or the first one if none has any.
fn used_destinations(all: &[Destination]) -> impl Iterator<Item = &Destination> {
    let is_weighted = all.iter().any(|destination| destination.weight > 0);
    let first = all.first().filter(|_| !is_weighted);
    all.iter().filter(|destination| destination.weight > 0).chain(first)
}

/// The request that the query describes, as if it arrived now.
fn pending_request(
    query: &ExplainQuery,
    route: &Route,
    workspace: Option<&Workspace>,
    destination: &Destination,
    now: Instant,
) -> PendingRequest {
    let priority = workspace.and_then(|workspace| workspace.priority);
    PendingRequest {
        service: destination.service.clone(),
        size: query.tokens.map(|(prompt, answer)| GenerationSize {
            prompt_tokens: prompt.into(),
            max_answer_tokens: answer.into(),
            answer_hint: None,
        }),
        requested_at: now,
        arrived_at: now,
        latency_objective: route.target_latency,
        max_event_gap: route.target_event_gap,
        deadline: now + route.timeout,
        is_resumed: false,
        was_refused: false,
        homes: homes_of(route, workspace),
        workspace: workspace.map(|workspace| workspace.name.clone()),
        tried: Vec::new(),
        rank: Rank { urgency: Urgency::new(priority, route.priority), was_refused: false },
    }
}

fn explained_service(
    dispatcher: &Dispatcher,
    destination: &Destination,
    explanation: &Explanation,
) -> ExplainedService {
    let endpoints = explanation.endpoints.iter();
    ExplainedService {
        service: destination.service.clone(),
        weight: destination.weight,
        decision: explained_decision(dispatcher, &explanation.decision),
        endpoints: endpoints
            .filter_map(|(key, assessment)| explained_endpoint(dispatcher, *key, assessment))
            .collect(),
    }
}

fn explained_decision(dispatcher: &Dispatcher, decision: &Decision) -> ExplainedDecision {
    match decision {
        Decision::Send { endpoint, .. } => {
            let id = dispatcher.id_of(*endpoint).map(ToString::to_string);
            ExplainedDecision::Send { endpoint: id.unwrap_or_default() }
        }
        Decision::Wait => ExplainedDecision::Wait,
        Decision::Refuse { reason, retry_after } => ExplainedDecision::Refuse {
            reason: reason.name().to_owned(),
            retry_after_ms: retry_after.as_millis() as u64,
        },
    }
}

fn explained_endpoint(
    dispatcher: &Dispatcher,
    key: EndpointKey,
    assessment: &Assessment,
) -> Option<ExplainedEndpoint> {
    let excluded = match assessment {
        Assessment::Excluded(exclusion) => Some(exclusion.name()),
        Assessment::StaysInZone(_) => Some(STAYS_IN_ZONE),
        Assessment::Eligible(_) => None,
    };
    Some(ExplainedEndpoint {
        id: dispatcher.id_of(key)?.to_string(),
        zone: dispatcher.zone_of(key)?.clone(),
        excluded: excluded.map(str::to_owned),
        suitability: assessment.suitability().map(explained_suitability),
    })
}

fn explained_suitability(suitability: &Suitability) -> ExplainedSuitability {
    ExplainedSuitability {
        expected_ms: printable(suitability.expected_ms),
        cost_ms: printable(suitability.cost_ms),
        distance_ms: printable(suitability.distance_ms),
        failure_ms: printable(suitability.failure_ms),
        meets_objective: suitability.meets_objective,
        has_late_capacity: suitability.has_late_capacity,
        has_token: suitability.has_token,
    }
}

/// A number that JSON can hold.
fn printable(ms: f64) -> f64 {
    if ms.is_finite() { ms } else { f64::MAX }
}
