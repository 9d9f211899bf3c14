//! What a caller asks for, checked against the configuration.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use base::{Digest, ServiceId};
use bytes::{Bytes, BytesMut};
use catalog::{Config, Destination, Route, Workspace};
use dispatch::{EndpointKey, Job, Size};
use http::{
    HeaderMap, Method, Request, StatusCode, header::HOST, request::Parts, uri::PathAndQuery,
};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use platform::Facts;

use crate::{
    shared::{Gateway, now},
    suspects::fingerprint,
};

/// A request that may be sent to endpoints.
pub(crate) struct Ask {
    pub(crate) facts: Facts,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    pub(crate) workspace: Option<Arc<Workspace>>,
    pub(crate) method: Method,
    pub(crate) path: PathAndQuery,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) fingerprint: Digest,
    pub(crate) arrived: Instant,
    /// When its caller first asked.
    pub(crate) asked: Instant,
    /// Whether its caller was refused before.
    pub(crate) again: bool,
    /// No answer is given after this.
    pub(crate) deadline: Instant,
}

/// Why a request is turned away before it is looked at further.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// No configuration is known yet.
    NotReady,
    /// The process stops and might not end the request in time.
    Stopping,
    /// No route leads there.
    NoRoute,
    /// Its key is missing or not known.
    BadKey,
    /// Its body is longer than allowed.
    TooLong,
    /// Its body did not arrive.
    Cut,
    /// The process holds too many bodies.
    Memory,
    /// It was lost at endpoints again and again.
    Suspect,
}

impl Denied {
    pub(crate) fn status(self) -> StatusCode {
        match self {
            Denied::NotReady | Denied::Stopping | Denied::Memory | Denied::Suspect => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Denied::NoRoute => StatusCode::NOT_FOUND,
            Denied::BadKey => StatusCode::UNAUTHORIZED,
            Denied::TooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Denied::Cut => StatusCode::BAD_REQUEST,
        }
    }

    pub(crate) fn retry_after(self) -> Option<Duration> {
        match self {
            Denied::NotReady => Some(Duration::from_millis(500)),
            // Another process takes it at once.
            Denied::Stopping => Some(Duration::from_millis(50)),
            Denied::Memory => Some(Duration::from_secs(1)),
            Denied::Suspect => Some(Duration::from_secs(30)),
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
            Denied::Cut => "body_cut",
            Denied::Memory => "memory",
            Denied::Suspect => "suspect",
        }
    }
}

/// Bytes of a body that count against the process's memory while this lives.
pub(crate) struct HeldBody<'a> {
    gateway: &'a Gateway,
    bytes: usize,
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        let held = &self.gateway.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

impl HeldBody<'_> {
    fn grow(&mut self, bytes: usize) -> Result<(), Denied> {
        let memory = self.gateway.process.borrow().limits.memory as f64;
        let held = self.gateway.body_bytes.get() + bytes;
        if held as f64 > memory * self.gateway.settings.body_part {
            return Err(Denied::Memory);
        }
        self.bytes += bytes;
        self.gateway.body_bytes.set(held);
        Ok(())
    }
}

impl Gateway {
    /// Checks a request and reads its body.
    pub(crate) async fn ask<'a>(
        &'a self,
        request: Request<Incoming>,
        facts: Facts,
    ) -> Result<(Ask, HeldBody<'a>), Denied> {
        let arrived = now();
        if self.stopping.get().is_some_and(|stopping| stopping.refuses(arrived)) {
            return Err(Denied::Stopping);
        }
        let config = self.config.borrow().clone().ok_or(Denied::NotReady)?;
        let (head, body) = request.into_parts();
        let route = find_route(&config, &head).ok_or(Denied::NoRoute)?;
        let workspace = self.workspace(&config, &route, &facts)?;
        let limit = config.limits.body_bytes;
        let mut held = HeldBody { gateway: self, bytes: 0 };
        let body = read_body(body, limit, &mut held).await?;
        let Parts { method, uri, headers, .. } = head;
        let path = uri.into_parts().path_and_query.ok_or(Denied::NoRoute)?;
        let fingerprint = fingerprint(path.as_str(), facts.key.as_ref(), &body);
        if self.suspects.borrow().refuses(&fingerprint) {
            return Err(Denied::Suspect);
        }
        let service = choose(&route.destinations).ok_or(Denied::NoRoute)?;
        let left = facts.deadline.unwrap_or(route.timeout);
        let refused = self.refusals.borrow().asked(&fingerprint, arrived);
        Ok((
            Ask {
                deadline: arrived + left.min(route.timeout),
                asked: refused.unwrap_or(arrived),
                again: refused.is_some(),
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
            },
            held,
        ))
    }

    fn workspace(
        &self,
        config: &Config,
        route: &Route,
        facts: &Facts,
    ) -> Result<Option<Arc<Workspace>>, Denied> {
        let Some(keys) = &config.workspaces else { return Ok(None) };
        let workspace = facts.key.as_ref().and_then(|key| keys.get(key)).cloned();
        if workspace.is_none() && !route.anonymous {
            return Err(Denied::BadKey);
        }
        Ok(workspace)
    }
}

fn find_route(config: &Config, head: &Parts) -> Option<Arc<Route>> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    config.route(host.or(head.uri.host())?, head.uri.path()).cloned()
}

fn choose(destinations: &[Destination]) -> Option<ServiceId> {
    let total: u32 = destinations.iter().map(|d| d.weight).sum();
    if total == 0 {
        return destinations.first().map(|d| d.service.clone());
    }
    let mut at = fastrand::u32(..total);
    let chosen = destinations.iter().find(|d| {
        let here = at < d.weight;
        at = at.saturating_sub(d.weight);
        here
    });
    chosen.map(|d| d.service.clone())
}

async fn read_body(
    mut body: Incoming,
    limit: usize,
    held: &mut HeldBody<'_>,
) -> Result<Bytes, Denied> {
    let stated = body.size_hint().exact();
    if stated.is_some_and(|stated| stated > limit as u64) {
        return Err(Denied::TooLong);
    }
    let mut first = Bytes::new();
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|_| Denied::Cut)?.into_data() else { continue };
        held.grow(data.len())?;
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

impl Ask {
    /// The request as the dispatcher sees it, after it was sent to the endpoints `tried`.
    pub(crate) fn job(&self, tried: &[EndpointKey], resumed: bool) -> Job {
        let priority = self.workspace.as_ref().and_then(|w| w.priority);
        let priority = priority.unwrap_or(self.route.priority);
        Job {
            service: self.service.clone(),
            size: self.facts.tokens.map(|tokens| Size { prompt: tokens.prompt.into() }),
            asked: self.asked,
            arrived: now(),
            objective: self.route.objective,
            gap: self.route.gap,
            deadline: self.deadline,
            resumed,
            again: self.again || !tried.is_empty(),
            tried: tried.to_vec(),
            rank: priority.0.saturating_mul(2).saturating_add(u8::from(self.again)),
        }
    }

    /// Time until the deadline.
    pub(crate) fn left(&self) -> Duration {
        self.deadline.saturating_duration_since(now())
    }
}

#[cfg(test)]
mod tests;
