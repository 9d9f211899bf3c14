//! JSON-RPC server: each call becomes an event for the actors, and their reply is returned to the
//! caller.

use std::{net::SocketAddr, time::Duration};

use audit::AuditPage;
use base::VmId;
use jsonrpsee::{
    core::{RpcResult, async_trait},
    server::{Server, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use proto::{
    Announcement, AttemptRef, CrashRecord, DocumentReply, DocumentRequest, EndpointState,
    ExecutionStatus, Gossip, PeerServer, Status, UsageUpdate,
};
use settings::PeerKey;
use subtle::ConstantTimeEq;
use tokio::sync::oneshot;
use tower_http::validate_request::ValidateRequestHeaderLayer;

/// Maximum time to wait for a reply from the actors.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a call or reply in bytes, enough for a complete document with its envelope.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;
/// Maximum number of open connections.
const MAX_CONNECTIONS: u32 = 512;
/// JSON-RPC error code for a call that this process does not support or cannot serve now.
const UNAVAILABLE: i32 = -32001;

/// Channel for the reply to a call.
pub type Reply<T> = oneshot::Sender<T>;

/// Replies to a call. The reply is dropped if the caller no longer waits.
pub fn send_reply<T>(reply: Reply<T>, value: T) {
    // Sending fails only if the caller no longer waits.
    let _ = reply.send(value);
}

/// A call from another process or an operator.
pub enum PeerCall {
    /// Exchanges information about members and document revisions.
    Gossip(Gossip, Reply<Gossip>),
    /// Requests a newer revision of a document.
    Document(DocumentRequest, Reply<DocumentReply>),
    /// Asks whether this process can reach another VM's process.
    Probe(VmId, Reply<bool>),
    /// Announces the chunks that a peer can provide.
    Announce(Announcement),
    /// Reports a part of an entry's usage totals.
    Usage(UsageUpdate),
    /// Requests the state of the endpoint.
    Endpoint(Reply<EndpointState>),
    /// Cancels an attempt and returns its final status.
    Cancel(AttemptRef, Reply<ExecutionStatus>),
    /// Requests the status of an attempt.
    Fate(AttemptRef, Reply<ExecutionStatus>),
    /// Sends the latest crash records and requests those of this process.
    Crashes(Vec<CrashRecord>, Reply<Vec<CrashRecord>>),
    /// Requests the status of the process.
    Status(Reply<Status>),
    /// Requests the audit trail from a position on.
    Audit(u64, Reply<AuditPage>),
}

type Deliver = Box<dyn Fn(PeerCall) -> bool + Send + Sync>;

/// The JSON-RPC server of a process.
pub struct RpcServer {
    handle: ServerHandle,
    addr: SocketAddr,
}

struct Service {
    deliver: Deliver,
}

impl RpcServer {
    /// Serves on `addr`. Calls without `key` are rejected with status 401.
    #[expect(clippy::result_large_err, reason = "the layer fixes the signature")]
    pub async fn start(
        addr: SocketAddr,
        key: PeerKey,
        deliver: impl Fn(PeerCall) -> bool + Send + Sync + 'static,
    ) -> std::io::Result<RpcServer> {
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .max_connections(MAX_CONNECTIONS)
            .http_only()
            .build();
        let check = move |request: &mut jsonrpsee::server::HttpRequest| check_key(request, &key);
        let middleware =
            tower::ServiceBuilder::new().layer(ValidateRequestHeaderLayer::custom(check));
        let server = Server::builder()
            .set_config(config)
            .set_http_middleware(middleware)
            .build(addr)
            .await?;
        let addr = server.local_addr()?;
        let service = Service { deliver: Box::new(deliver) };
        Ok(RpcServer { handle: server.start(service.into_rpc()), addr })
    }

    /// Returns the listen address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops the server.
    pub fn stop(&self) {
        // An error means that the server has already stopped.
        let _ = self.handle.stop();
    }
}

#[expect(clippy::result_large_err, reason = "the layer fixes the signature")]
fn check_key(
    request: &mut jsonrpsee::server::HttpRequest,
    key: &PeerKey,
) -> Result<(), jsonrpsee::server::HttpResponse> {
    let given = request.headers().get(proto::header::AUTHORIZATION);
    let given = given.and_then(|v| v.as_bytes().strip_prefix(b"Bearer ")).unwrap_or_default();
    if given.ct_eq(key.as_bytes()).into() {
        return Ok(());
    }
    let mut response = jsonrpsee::server::HttpResponse::new(
        "the peer key is missing or wrong; use the fleet's peer_key".to_owned().into(),
    );
    *response.status_mut() = http::StatusCode::UNAUTHORIZED;
    Err(response)
}

impl Service {
    async fn ask<T>(&self, make: impl FnOnce(Reply<T>) -> PeerCall) -> RpcResult<T> {
        let (reply, received) = oneshot::channel();
        if !(self.deliver)(make(reply)) {
            return Err(unavailable("the process stops; ask another"));
        }
        match tokio::time::timeout(REPLY_TIMEOUT, received).await {
            Ok(Ok(value)) => Ok(value),
            Ok(Err(_)) => Err(unavailable("this process does not serve the call; ask another")),
            Err(_) => Err(unavailable("the process is too busy to reply; retry later")),
        }
    }
}

fn unavailable(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(UNAVAILABLE, message, None::<()>)
}

#[async_trait]
impl PeerServer for Service {
    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip> {
        self.ask(|reply| PeerCall::Gossip(gossip, reply)).await
    }

    async fn document(&self, request: DocumentRequest) -> RpcResult<DocumentReply> {
        self.ask(|reply| PeerCall::Document(request, reply)).await
    }

    async fn probe(&self, vm: VmId) -> RpcResult<bool> {
        self.ask(|reply| PeerCall::Probe(vm, reply)).await
    }

    async fn announce(&self, announcement: Announcement) -> RpcResult<()> {
        if (self.deliver)(PeerCall::Announce(announcement)) {
            Ok(())
        } else {
            Err(unavailable("the process stops; ask another"))
        }
    }

    async fn usage(&self, news: UsageUpdate) -> RpcResult<()> {
        if (self.deliver)(PeerCall::Usage(news)) {
            Ok(())
        } else {
            Err(unavailable("the process stops; ask another"))
        }
    }

    async fn endpoint(&self) -> RpcResult<EndpointState> {
        self.ask(PeerCall::Endpoint).await
    }

    async fn cancel(&self, attempt: AttemptRef) -> RpcResult<ExecutionStatus> {
        self.ask(|reply| PeerCall::Cancel(attempt, reply)).await
    }

    async fn fate(&self, attempt: AttemptRef) -> RpcResult<ExecutionStatus> {
        self.ask(|reply| PeerCall::Fate(attempt, reply)).await
    }

    async fn crashes(&self, records: Vec<CrashRecord>) -> RpcResult<Vec<CrashRecord>> {
        self.ask(|reply| PeerCall::Crashes(records, reply)).await
    }

    async fn status(&self) -> RpcResult<Status> {
        self.ask(PeerCall::Status).await
    }

    async fn audit(&self, from: u64) -> RpcResult<AuditPage> {
        self.ask(|reply| PeerCall::Audit(from, reply)).await
    }
}
