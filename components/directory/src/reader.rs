//! Client for the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use platform::store::{StoreEra, StorePosition, range_path, watch_path};
use tokio::time::Instant;
use transport::{
    BufferedResponse, ConnectSettings, ConnectionPool, PoolSettings, TransportError, request,
};

use crate::{PagedRead, ReadError, Snapshot, WatchedChanges, accept_response};

/// Timeouts and limits of requests to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReaderSettings {
    /// Timeouts and keep-alive of connections.
    pub connect: ConnectSettings,
    /// Timeout of a read.
    pub read_timeout: Duration,
    /// Maximum time that a connection stays idle, which has to exceed the time of a watch.
    pub idle_timeout: Duration,
    /// Maximum size of a response in bytes.
    pub max_response_bytes: usize,
}

impl Default for StoreReaderSettings {
    fn default() -> StoreReaderSettings {
        let connect = ConnectSettings {
            timeout: Duration::from_millis(700),
            keepalive_time: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(1),
            unacked_timeout: Duration::from_millis(1500),
        };
        StoreReaderSettings {
            connect,
            read_timeout: Duration::from_millis(1500),
            idle_timeout: Duration::from_millis(2500),
            max_response_bytes: 16 << 20,
        }
    }
}

/// Reads and watches the store.
#[derive(Debug)]
pub struct StoreReader {
    addr: SocketAddr,
    settings: StoreReaderSettings,
    pool: ConnectionPool,
}

impl StoreReader {
    /// Creates a reader of the store at `addr`.
    pub fn new(addr: SocketAddr, settings: StoreReaderSettings) -> StoreReader {
        let pool = PoolSettings {
            connect: settings.connect,
            idle_timeout: settings.idle_timeout,
            ..PoolSettings::default()
        };
        StoreReader { addr, settings, pool: ConnectionPool::new(pool) }
    }

    /// Reads the whole store in the newest era that is known. A stale read is cheaper, but may return
    /// data that is seconds old.
    ///
    /// # Errors
    ///
    /// Fails if the store is in another era; if it is in a newer one, the read has to start again.
    pub async fn read(&self, era: StoreEra, stale: bool) -> Result<Snapshot, ReadError> {
        let mut read = PagedRead::new(era);
        let mut after: Option<String> = None;
        loop {
            let path = range_path(after.as_deref(), stale);
            let response = self.call(&path, self.settings.read_timeout).await?;
            after = self.check(read.add_page(response))?;
            if after.is_none() {
                return Ok(read.finish());
            }
        }
    }

    /// Waits up to `wait` for changes after a position, and up to `grace` longer for the response.
    ///
    /// # Errors
    ///
    /// Fails if the store is in another era, also if its response could be decoded.
    pub async fn watch(
        &self,
        after: StorePosition,
        wait: Duration,
        grace: Duration,
    ) -> Result<WatchedChanges, ReadError> {
        let path = watch_path(after.revision, wait);
        let response = self.call(&path, wait + grace).await?;
        let body = self.check(accept_response(response, after.era))?;
        WatchedChanges::decode(body, after)
    }

    /// Closes the connections if a response on one of them was of an older era, as they may all lead
    /// to a process that is out of date.
    fn check<T>(&self, result: Result<T, ReadError>) -> Result<T, ReadError> {
        if matches!(result, Err(ReadError::OlderEra { .. })) {
            self.pool.close_idle(self.addr);
        }
        result
    }

    async fn call(
        &self,
        path: &str,
        timeout: Duration,
    ) -> Result<BufferedResponse, TransportError> {
        let request = request(Method::GET, self.addr, path, Bytes::new());
        let deadline = Instant::now() + timeout;
        let bytes = self.settings.max_response_bytes;
        let reply = self.pool.call(self.addr, request, bytes, deadline).await;
        if reply.is_err() {
            self.pool.close_idle(self.addr);
        }
        reply
    }
}
