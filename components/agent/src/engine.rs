//! The client of the endpoint beside the agent.

use std::{net::SocketAddr, time::Duration};

use base::{AttemptId, Digest, Fence, ReleaseId};
use bytes::Bytes;
use proto::header;
use rollout::{EngineStatus, Order};
use serde::{Deserialize, Serialize};

/// Longest silence of the endpoint while it answers a control call.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest silence of an endpoint that is well.
const PROBE_TIMEOUT: Duration = Duration::from_secs(2);

/// What an engine states.
#[derive(Debug, Clone, PartialEq, Deserialize)]
pub(crate) struct EngineReport {
    #[serde(default)]
    serving: Option<ReleaseId>,
    #[serde(default)]
    prepared: Option<ReleaseId>,
    #[serde(default)]
    fence: Fence,
    /// Requests in progress, as of a moment ago.
    #[serde(default)]
    pub(crate) busy: u32,
    /// Most requests in progress.
    #[serde(default)]
    pub(crate) slots: u32,
}

impl EngineReport {
    pub(crate) fn view(&self) -> EngineStatus {
        EngineStatus {
            serving: self.serving.clone(),
            prepared: self.prepared.clone(),
            fence: self.fence,
        }
    }

    /// Whether a release is served; an engine that crashed serves none.
    pub(crate) fn serves(&self) -> bool {
        self.serving.is_some()
    }

    /// What a plain service that answers is taken to state.
    fn plain() -> EngineReport {
        EngineReport { serving: None, prepared: None, fence: Fence(0), busy: 0, slots: 0 }
    }
}

#[derive(Serialize)]
struct OrderBody<'a> {
    #[serde(flatten)]
    order: &'a Order,
    chunks: &'a [Digest],
}

/// Calls the endpoint; every call blocks.
#[derive(Clone)]
pub(crate) struct Engine {
    addr: SocketAddr,
    client: ureq::Agent,
    /// Opens a connection for each call, as an old one tells nothing of the endpoint.
    probe: ureq::Agent,
}

impl Engine {
    pub(crate) fn new(addr: SocketAddr) -> Engine {
        let (client, probe) = (net::pooled(CONTROL_TIMEOUT), net::single(PROBE_TIMEOUT));
        Engine { addr, client, probe }
    }

    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Reads the state of a model engine.
    pub(crate) fn report(&self) -> Option<EngineReport> {
        self.read_state(&self.client)
    }

    fn read_state(&self, client: &ureq::Agent) -> Option<EngineReport> {
        let url = format!("http://{}/v1/state", self.addr);
        let mut response = client.get(url).call().ok()?;
        response.body_mut().read_json().ok()
    }

    /// Whether a model engine has crashed: it does not answer, or serves nothing any more.
    pub(crate) fn has_crashed(&self) -> bool {
        self.read_state(&self.probe).is_none_or(|report| !report.serves())
    }

    /// Whether a plain service does not answer.
    pub(crate) fn is_down(&self) -> bool {
        let url = format!("http://{}/healthz", self.addr);
        !self.probe.get(url).call().is_ok_and(|r| r.status().is_success())
    }

    /// Stops an attempt.
    pub(crate) fn cancel(&self, attempt: AttemptId) {
        let url = format!("http://{}/v1/answers/{attempt}", self.addr);
        // An engine that cannot be reached holds nothing, or ends the answer by itself.
        let _ = self.probe.delete(url).call();
    }

    /// Asks a plain service whether it is well.
    pub(crate) fn health(&self) -> Option<EngineReport> {
        let url = format!("http://{}/healthz", self.addr);
        let response = self.client.get(url).call().ok()?;
        response.status().is_success().then(EngineReport::plain)
    }

    /// Gives an order; returns whether the engine accepted it.
    pub(crate) fn order(&self, order: &Order, chunks: &[Digest]) -> bool {
        let url = format!("http://{}/v1/orders", self.addr);
        let response = self.client.post(url).send_json(OrderBody { order, chunks });
        response.is_ok_and(|r| r.status().is_success())
    }

    /// Hands a chunk of the prepared release to the engine.
    pub(crate) fn stage(&self, release: &ReleaseId, digest: Digest, chunk: &Bytes) -> bool {
        let url = format!("http://{}/v1/staging/{digest}", self.addr);
        let request = self.client.put(url).header(header::RELEASE, release.as_str());
        request.send(&chunk[..]).is_ok_and(|r| r.status().is_success())
    }
}
