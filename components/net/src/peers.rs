//! JSON-RPC client for calls to other processes.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use jsonrpsee::{
    core::ClientError,
    http_client::{HeaderMap, HeaderValue, HttpClient, HttpClientBuilder},
};
use settings::PeerKey;
use tokio::runtime::Handle;

/// Maximum time to wait for a reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a reply in bytes.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;
/// Maximum number of cached clients. When it is reached, the cache is cleared.
const MAX_CLIENTS: usize = 256;

/// Error of a failed call.
pub type CallError = ClientError;

/// Calls other processes, from the core thread with a callback for the result.
#[derive(Clone)]
pub struct PeerCaller {
    runtime: Handle,
    key: PeerKey,
    clients: Arc<Mutex<HashMap<SocketAddr, HttpClient>>>,
}

impl PeerCaller {
    /// Creates a caller that authorizes with `key` and runs on the threads of `runtime`.
    pub fn new(runtime: Handle, key: PeerKey) -> PeerCaller {
        PeerCaller { runtime, key, clients: Arc::default() }
    }

    /// Makes a call to `addr`. `done` receives the result on a thread of the runtime.
    pub fn call<T, F>(
        &self,
        addr: SocketAddr,
        call: impl FnOnce(HttpClient) -> F,
        done: impl FnOnce(Result<T, CallError>) + Send + 'static,
    ) where
        F: Future<Output = Result<T, CallError>> + Send + 'static,
        T: Send + 'static,
    {
        match self.client(addr) {
            Ok(client) => {
                let future = call(client);
                self.runtime.spawn(async move { done(future.await) });
            }
            Err(err) => done(Err(err)),
        }
    }

    /// Makes a call to `addr` and blocks until its result. Must not be used on the core thread.
    pub fn call_blocking<T, F>(
        &self,
        addr: SocketAddr,
        call: impl FnOnce(HttpClient) -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, CallError>> + Send + 'static,
        T: Send + 'static,
    {
        let future = call(self.client(addr)?);
        self.runtime.block_on(future)
    }

    /// Drops the cached client of `addr`, so that the next call opens a new connection.
    pub fn disconnect(&self, addr: SocketAddr) {
        self.clients.lock().expect("no holder panics").remove(&addr);
    }

    fn client(&self, addr: SocketAddr) -> Result<HttpClient, CallError> {
        let mut clients = self.clients.lock().expect("no holder panics");
        if let Some(client) = clients.get(&addr) {
            return Ok(client.clone());
        }
        let client = self.connect(addr)?;
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(addr, client.clone());
        Ok(client)
    }

    fn connect(&self, addr: SocketAddr) -> Result<HttpClient, CallError> {
        let mut headers = HeaderMap::new();
        let value = HeaderValue::from_str(&format!("Bearer {}", self.key.expose()))
            .map_err(|err| ClientError::Custom(format!("peer_key is not a header: {err}")))?;
        headers.insert(proto::header::AUTHORIZATION, value);
        HttpClientBuilder::default()
            .request_timeout(CALL_TIMEOUT)
            .max_response_size(MAX_MESSAGE_BYTES)
            .set_headers(headers)
            .build(format!("http://{addr}"))
    }
}
