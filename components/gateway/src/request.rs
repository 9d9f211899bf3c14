//! Admission of callers' requests: checks them against the configuration and reads their bodies.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Digest, ServiceId};
use bytes::{Bytes, BytesMut};
use catalog::{Config, Destination, Homes, Route, Workspace};
use dispatch::{EndpointKey, GenerationSize, PendingRequest, Rank, Urgency};
use http::{
    HeaderMap, Method, Request, StatusCode, header::HOST, request::Parts, uri::PathAndQuery,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use platform::CallerHeaders;
use quarantine::PartKey;

use crate::{
    shutdown::ShutdownStage,
    state::{Gateway, now},
    suspect_parts::part_keys,
    suspects::fingerprint,
};

/// Time before a caller gives up by which it gets a response: more than a request and its response are
/// on their way.
const CALLER_MARGIN: Duration = Duration::from_millis(150);

/// `Retry-After` for requests that crash endpoints.
pub(crate) const SUSPECT_RETRY_AFTER: Duration = Duration::from_secs(30);

/// `Retry-After` for requests that another gateway can take at once.
pub(crate) const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Admitted request with everything needed to send it to endpoints.
pub(crate) struct RequestContext {
    pub(crate) facts: CallerHeaders,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Digest,
    /// The parts of the prompt that other requests may share.
    pub(crate) parts: Vec<PartKey>,
    pub(crate) arrived: Instant,
    /// When the caller first sent this request, if it was refused before, else the time of arrival.
    pub(crate) first_requested: Instant,
    /// Whether this request was refused before, here or at another gateway of the zone.
    pub(crate) refused_before: bool,
    /// Time after which no response is sent any more.
    pub(crate) deadline: Instant,
}

/// Reason to reject a request at admission.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No configuration has been read yet.
    NotReady,
    /// The gateway is shutting down and might not finish the request in time.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The API key is missing or unknown.
    BadKey,
    /// The body exceeds the size limit.
    TooLong,
    /// The body did not arrive completely.
    BodyIncomplete,
    /// Request bodies, or responses that callers have not read, already use all the memory allowed for them.
    MemoryLimit,
    /// The request, or requests with a part of its prompt, were repeatedly lost at endpoints.
    Suspect,
}

impl Denied {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Denied::NotReady | Denied::Stopping | Denied::MemoryLimit | Denied::Suspect => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Denied::NoRoute => StatusCode::NOT_FOUND,
            Denied::BadKey => StatusCode::UNAUTHORIZED,
            Denied::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Denied::BodyIncomplete => StatusCode::BAD_REQUEST,
        }
    }

    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Denied::NotReady => Some(Duration::from_millis(500)),
            Denied::Stopping => Some(STOPPING_RETRY_AFTER),
            Denied::MemoryLimit => Some(Duration::from_secs(1)),
            Denied::Suspect => Some(SUSPECT_RETRY_AFTER),
            _ => None,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Denied::NotReady => "not_ready",
            Denied::Stopping => "stopping",
            Denied::NoRoute => "no_route",
            Denied::BadKey => "bad_key",
            Denied::TooLong => "too_long",
            Denied::BodyIncomplete => "body_cut",
            Denied::MemoryLimit => "memory",
            Denied::Suspect => "suspect",
        }
    }
}

/// Memory reserved for a request body. Released on drop.
pub(crate) struct BodyReservation<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl Drop for BodyReservation<'_> {
    fn drop(&mut self) {
        let held = &self.gateway.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

impl BodyReservation<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Denied> {
        let memory = self.gateway.process.borrow().limits.memory_bytes as f64;
        let total = self.gateway.body_bytes.get() + bytes;
        if total as f64 > memory * self.gateway.settings.body_memory_fraction {
            return Err(Denied::MemoryLimit);
        }
        self.bytes += bytes;
        self.gateway.body_bytes.set(total);
        Ok(())
    }
}

impl Gateway {
    /// Checks a request, reads its body and chooses its service.
    pub(crate) async fn admit<'a>(
        &'a self,
        request: Request<Incoming>,
        facts: CallerHeaders,
    ) -> Result<(RequestContext, BodyReservation<'a>), Denied> {
        let arrived = now();
        if self.shutdown_stage() >= ShutdownStage::Refusing {
            return Err(Denied::Stopping);
        }
        if self.is_response_memory_full() {
            return Err(Denied::MemoryLimit);
        }
        let config = self.config.borrow().clone().ok_or(Denied::NotReady)?;
        let (head, body) = request.into_parts();
        let route = find_route(&config, &head).ok_or(Denied::NoRoute)?;
        let workspace = self.workspace(&config, &route, &facts)?;
        let limit = config.limits.max_body_bytes;
        let mut reservation = BodyReservation { gateway: self, bytes: 0 };
        let body = tokio::select! {
            biased;
            body = read_body(body, limit, &mut reservation) => body?,
            () = self.reached(ShutdownStage::Refusing) => return Err(Denied::Stopping),
        };
        let Parts { method, uri, headers, .. } = head;
        let path = uri.into_parts().path_and_query.ok_or(Denied::NoRoute)?;
        let fingerprint = fingerprint(path.as_str(), facts.api_key.as_ref(), &body);
        if self.suspects.borrow().is_refused(&fingerprint) {
            return Err(Denied::Suspect);
        }
        let service = choose_service(&route.destinations).ok_or(Denied::NoRoute)?;
        let parts = part_keys(&service, &facts.prompt_parts);
        if self.suspect_parts.borrow().refused_part(&parts).is_some() {
            return Err(Denied::Suspect);
        }
        let timeout = facts.deadline.unwrap_or(route.timeout);
        let first_requested = self.refusals.borrow().first_requested(&fingerprint, arrived);
        Ok((
            RequestContext {
                deadline: arrived + timeout.min(route.timeout),
                first_requested: first_requested.unwrap_or(arrived),
                refused_before: first_requested.is_some(),
                arrived,
                facts,
                route,
                service,
                workspace,
                method,
                path,
                headers,
                body,
                fingerprint,
                parts,
            },
            reservation,
        ))
    }

    /// Returns the workspace of the caller, if callers need keys.
    pub(crate) fn workspace(
        &self,
        config: &Config,
        route: &Route,
        facts: &CallerHeaders,
    ) -> Result<Option<Arc<Workspace>>, Denied> {
        let Some(keys) = &config.workspaces else { return Ok(None) };
        let workspace = facts.api_key.as_ref().and_then(|key| keys.get(key)).cloned();
        if workspace.is_none() && !route.allow_anonymous {
            return Err(Denied::BadKey);
        }
        Ok(workspace)
    }
}

/// The regions in which both the route and the workspace allow requests to be served.
pub(crate) fn homes_of(route: &Route, workspace: Option<&Workspace>) -> Homes {
    match workspace {
        Some(workspace) => route.homes.intersection(&workspace.homes),
        None => route.homes.clone(),
    }
}

fn find_route(config: &Config, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    config.route(host.or(head.uri.host())?, head.uri.path()).cloned()
}

fn choose_service(destinations: &[Destination]) -> Option<ServiceId> {
    let total: u64 = destinations.iter().map(|d| u64::from(d.weight)).sum();
    if total == 0 {
        return destinations.first().map(|d| d.service.clone());
    }
    let mut offset = fastrand::u64(..total);
    let chosen = destinations.iter().find(|d| {
        let selected = offset < u64::from(d.weight);
        offset = offset.saturating_sub(d.weight.into());
        selected
    });
    chosen.map(|d| d.service.clone())
}

async fn read_body(
    mut body: Incoming,
    limit: usize,
    reservation: &mut BodyReservation<'_>,
) -> Result<Bytes, Denied> {
    let content_length = body.size_hint().exact();
    if content_length.is_some_and(|content_length| content_length > limit as u64) {
        return Err(Denied::TooLong);
    }
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Denied::BodyIncomplete)?.into_data() else { continue };
        reservation.grow(data.len())?;
        if first.is_empty() && whole.is_empty() {
            first = data;
        } else {
            if whole.is_empty() {
                whole.extend_from_slice(&first);
            }
            whole.extend_from_slice(&data);
        }
        if whole.len().max(first.len()) > limit {
            return Err(Denied::TooLong);
        }
    }
    Ok(if whole.is_empty() { first } else { whole.freeze() })
}

impl RequestContext {
    /// Creates the dispatcher's request for the next attempt, after the endpoints in `tried`. It must be
    /// answered by `deadline`.
    pub(crate) fn pending_request(
        &self,
        tried: &[EndpointKey],
        resumed: bool,
        deadline: Instant,
        homes: Homes,
    ) -> PendingRequest {
        PendingRequest {
            service: self.service.clone(),
            size: self.facts.token_counts.map(|tokens| GenerationSize {
                prompt_tokens: tokens.prompt.into(),
                max_answer_tokens: tokens.max_answer.into(),
                answer_hint: self.facts.answer_hint.map(f64::from),
            }),
            requested_at: self.first_requested,
            arrived_at: now(),
            latency_objective: self.route.target_latency,
            max_event_gap: self.route.target_event_gap,
            deadline,
            is_resumed: resumed,
            was_refused: self.refused_before || !tried.is_empty(),
            homes,
            workspace: self.workspace.as_ref().map(|workspace| workspace.name.clone()),
            tried: tried.to_vec(),
            rank: Rank { urgency: self.urgency(), was_refused: self.refused_before },
        }
    }

    /// Returns how urgent the request is.
    pub(crate) fn urgency(&self) -> Urgency {
        let workspace = self.workspace.as_ref().and_then(|workspace| workspace.priority);
        Urgency::new(workspace, self.route.priority)
    }

    /// Returns the regions in which the request may be served: those that the configuration allowed at its
    /// admission and that `config`, the one in force, still allows.
    pub(crate) fn homes(&self, config: Option<&Config>) -> Homes {
        let admitted = homes_of(&self.route, self.workspace.as_deref());
        let Some(config) = config else { return admitted };
        let route = config.route(&self.route.host, self.path.path()).unwrap_or(&self.route);
        let key = self.facts.api_key.as_ref();
        let workspace = key.and_then(|key| config.workspaces.as_ref()?.get(key));
        let workspace = workspace.or(self.workspace.as_ref());
        admitted.intersection(&homes_of(route, workspace.map(Arc::as_ref)))
    }

    /// Returns the time by which the response has to begin: the deadline, or a moment before the caller
    /// of a stream gives up waiting for the first event.
    pub(crate) fn response_deadline(&self) -> Instant {
        let patience = self.route.caller_patience();
        let gives_up = patience.map(|patience| self.arrived + patience);
        let respond_by = gives_up.and_then(|at| at.checked_sub(CALLER_MARGIN));
        respond_by.map_or(self.deadline, |at| at.min(self.deadline))
    }

    /// Returns the time until the deadline.
    pub(crate) fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(now())
    }
}

#[cfg(test)]
mod tests;
