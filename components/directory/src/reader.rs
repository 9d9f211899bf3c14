//! Client for the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Method;
use platform::store::{StoreEra, StorePosition, range_path, watch_path};
use tokio::time::Instant;
use transport::{
    BufferedResponse, CallLimits, ConnectSettings, ConnectionPool, PoolSettings, ReceiveProgress,
    TransportError, request,
};

use crate::{PagedRead, ReadError, Snapshot, StoreBody, WatchedChanges, accept_response};

/// Timeouts and limits of requests to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReaderSettings {
    /// Timeouts and keep-alive of connections.
    pub connect: ConnectSettings,
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
            idle_timeout: Duration::from_millis(2500),
            max_response_bytes: 16 << 20,
        }
    }
}

/// Time limits of an answer of the store, however large it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerLimits {
    /// Time until the answer must have begun, beyond the time for which the store waits for changes.
    pub begin: Duration,
    /// Time in which an answer that has begun must make progress.
    pub stall: Duration,
}

/// The answer to a watch.
#[derive(Debug)]
pub struct WatchAnswer {
    /// The changes.
    pub changes: WatchedChanges,
    /// When it began to arrive.
    pub begun_at: Instant,
}

/// Reads and watches the store.
#[derive(Debug)]
pub struct StoreReader {
    addr: SocketAddr,
    settings: StoreReaderSettings,
    pool: ConnectionPool,
    progress: ReceiveProgress,
}

impl StoreReader {
    /// Creates a reader of the store at `addr`.
    pub fn new(addr: SocketAddr, settings: StoreReaderSettings) -> StoreReader {
        StoreReader::with_progress(addr, settings, ReceiveProgress::default())
    }

    /// The same; records in `progress` how answers arrive.
    pub fn with_progress(
        addr: SocketAddr,
        settings: StoreReaderSettings,
        progress: ReceiveProgress,
    ) -> StoreReader {
        let pool = PoolSettings {
            connect: settings.connect,
            idle_timeout: settings.idle_timeout,
            ..PoolSettings::default()
        };
        StoreReader { addr, settings, pool: ConnectionPool::new(pool), progress }
    }

    /// Reads the whole store in the newest era that is known. A stale read is cheaper, but may return
    /// data that is seconds old.
    ///
    /// # Errors
    ///
    /// Fails if the store is in another era; if it is in a newer one, the read has to start again.
    pub async fn read(
        &self,
        era: StoreEra,
        stale: bool,
        limits: AnswerLimits,
    ) -> Result<Snapshot, ReadError> {
        let mut read = PagedRead::new(era);
        let mut after: Option<String> = None;
        loop {
            let path = range_path(after.as_deref(), stale);
            let response = self.call(&path, limits).await?;
            after = self.check(read.add_page(response))?;
            if after.is_none() {
                return Ok(read.finish());
            }
        }
    }

    /// Waits up to `wait` for changes after a position, and longer for the response.
    ///
    /// # Errors
    ///
    /// Fails if the store is in another era, also if its response could be decoded.
    pub async fn watch(
        &self,
        after: StorePosition,
        wait: Duration,
        limits: AnswerLimits,
    ) -> Result<WatchAnswer, ReadError> {
        let path = watch_path(after.revision, wait);
        let begin = wait + limits.begin;
        let response = self.call(&path, AnswerLimits { begin, ..limits }).await?;
        let begun_at = response.begun_at;
        let body = self.check(accept_response(response, after.era))?;
        Ok(WatchAnswer {
            changes: WatchedChanges::decode(StoreBody::Plain(body), after)?,
            begun_at,
        })
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
        limits: AnswerLimits,
    ) -> Result<BufferedResponse, TransportError> {
        let request = request(Method::GET, self.addr, path, Bytes::new());
        let progress = self.progress.clone();
        let limits = CallLimits::stalled(limits.begin, limits.stall, progress);
        let bytes = self.settings.max_response_bytes;
        let reply = self.pool.call(self.addr, request, bytes, limits).await;
        if reply.is_err() {
            self.pool.close_idle(self.addr);
        }
        reply
    }
}
