//! HTTP client of the agent's endpoint.

use std::{net::SocketAddr, time::Duration};

use base::{AttemptId, Digest, Fence, ReleaseId};
use bytes::Bytes;
use proto::header;
use rollout::{EngineStatus, Order};
use serde::{Deserialize, Serialize};

/// Maximum time without data from the endpoint during a control call.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum time without data from a healthy endpoint.
const PROBE_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// State reported by an engine.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct EngineReport {
    #[serde(default)]
    serving: Option<ReleaseId>,
    #[serde(default)]
    prepared: Option<ReleaseId>,
    #[serde(default)]
    fence: Fence,
    /// Number of requests in progress when the engine reported.
    #[serde(default)]
    pub(crate) busy: u32,
    /// Maximum number of concurrent requests.
    #[serde(default)]
    pub(crate) slots: u32,
}

impl EngineReport {
    pub(crate) fn status(&self) -> EngineStatus {
        EngineStatus {
            serving: self.serving.clone(),
            prepared: self.prepared.clone(),
            fence: self.fence,
        }
    }

    /// Whether a release is served; a crashed engine serves none.
    pub(crate) fn serves(&self) -> bool {
        self.serving.is_some()
    }

    /// The report assumed for a plain service that responds.
    fn of_plain_service() -> EngineReport {
        EngineReport { serving: None, prepared: None, fence: Fence(0), busy: 0, slots: 0 }
    }
}

#[derive(Serialize)]
struct OrderBody<'a> {
    #[serde(flatten)]
    order: &'a Order,
    chunks: &'a [Digest],
}

/// Blocking client of the endpoint.
#[derive(Clone)]
pub(crate) struct Engine {
    addr: SocketAddr,
    client: ureq::Agent,
    /// Opens a new connection for each order and upload, so that a late copy of an earlier answer on a pooled one is
    /// not taken for the answer to it.
    unpooled: ureq::Agent,
    /// Opens a new connection for each call, as a pooled one does not show whether the endpoint is
    /// up.
    probe: ureq::Agent,
}

impl Engine {
    pub(crate) fn new(addr: SocketAddr) -> Engine {
        let (client, probe) =
            (net::pooled_client(CONTROL_IDLE_TIMEOUT), net::unpooled_client(PROBE_IDLE_TIMEOUT));
        let unpooled = net::unpooled_client(CONTROL_IDLE_TIMEOUT);
        Engine { addr, client, unpooled, probe }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the state of a model engine; `None` if it cannot be read.
    pub(crate) fn report(&self) -> Option<EngineReport> {
        self.read_state(&self.client)
    }

    fn read_state(&self, client: &ureq::Agent) -> Option<EngineReport> {
        let url = format!("http://{}/v1/state", self.addr);
        let mut response = client.get(url).call().ok()?;
        response.body_mut().read_json().ok()
    }

    /// Whether a model engine has crashed: it does not respond or no longer serves a release.
    pub(crate) fn has_crashed(&self) -> bool {
        self.read_state(&self.probe).is_none_or(|report| !report.serves())
    }

    /// Whether a plain service fails its health check.
    pub(crate) fn is_down(&self) -> bool {
        let url = format!("http://{}/healthz", self.addr);
        !self.probe.get(url).call().is_ok_and(|r| r.status().is_success())
    }

    /// Cancels an attempt.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        let url = format!("http://{}/v1/answers/{attempt}", self.addr);
        // An unreachable engine is either down or ends the response by itself.
        let _ = self.probe.delete(url).call();
    }

    /// Checks the health of a plain service; `None` if it is not healthy.
    pub(crate) fn health(&self) -> Option<EngineReport> {
        let url = format!("http://{}/healthz", self.addr);
        let response = self.client.get(url).call().ok()?;
        response.status().is_success().then(EngineReport::of_plain_service)
    }

    /// Sends an order; returns whether the engine accepted it.
    pub(crate) fn order(&self, order: &Order, chunks: &[Digest]) -> bool {
        let url = format!("http://{}/v1/orders", self.addr);
        let response = self.unpooled.post(url).send_json(OrderBody { order, chunks });
        response.is_ok_and(|r| r.status().is_success())
    }

    /// Uploads a chunk of the prepared release to the engine; returns whether it was accepted.
    pub(crate) fn stage(&self, release: &ReleaseId, digest: Digest, chunk: &Bytes) -> bool {
        let url = format!("http://{}/v1/staging/{digest}", self.addr);
        let request = self.unpooled.put(url).header(header::RELEASE, release.as_str());
        request.send(&chunk[..]).is_ok_and(|r| r.status().is_success())
    }
}

#[cfg(test)]
mod tests;
