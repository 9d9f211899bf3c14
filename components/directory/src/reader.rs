//! Client for the platform's store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use platform::store::{
    Changes, StoreEntry, StoreRevision, decode_changes, decode_page, range_path, watch_path,
};
use tokio::time::Instant;
use transport::{BufferedResponse, ConnectSettings, ConnectionPool, PoolSettings, request};

use crate::ReadError;

/// Timeouts and limits of requests to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreReaderSettings {
    /// Timeouts and keep-alive of connections.
    pub connect: ConnectSettings,
    /// Timeout of a read.
    pub read_timeout: Duration,
    /// Maximum time that a connection stays idle, which has to exceed the time of a watch.
    pub idle_timeout: Duration,
    /// Time beyond its waiting time after which a watch fails.
    pub grace_period: Duration,
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
            grace_period: Duration::from_millis(700),
            max_response_bytes: 16 << 20,
        }
    }
}

/// All entries of the store.
#[derive(Debug)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<StoreEntry>,
    /// The revision to watch from: the lowest of all pages. Pages are read one after the other, so
    /// changes between them are reported again by the watch.
    pub revision: StoreRevision,
}

/// Changes that a watch returned.
#[derive(Debug)]
pub struct WatchedChanges {
    /// The changes.
    pub changes: Changes,
    /// The response that they were decoded from, to pass it on.
    pub body: Bytes,
}

impl WatchedChanges {
    /// No changes after a revision.
    pub fn none(revision: StoreRevision) -> WatchedChanges {
        let changes = Changes { entries: Vec::new(), revision };
        WatchedChanges { changes, body: Bytes::new() }
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

    /// Reads the whole store. A stale read is cheaper, but may return data that is seconds old.
    pub async fn read(&self, stale: bool) -> Result<Snapshot, ReadError> {
        let mut entries = Vec::new();
        let mut revision: Option<StoreRevision> = None;
        let mut after: Option<String> = None;
        loop {
            let path = range_path(after.as_deref(), stale);
            let page = decode_page(&self.call(&path, self.settings.read_timeout).await?.body)?;
            let lowest = revision.map_or(page.revision, |revision| revision.min(page.revision));
            revision = Some(lowest);
            entries.extend(page.entries);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(Snapshot { entries, revision: lowest }),
            }
        }
    }

    /// Waits up to `wait` for changes after a revision.
    pub async fn watch(
        &self,
        after: StoreRevision,
        wait: Duration,
    ) -> Result<WatchedChanges, ReadError> {
        let path = watch_path(after, wait);
        let body = self.call(&path, wait + self.settings.grace_period).await?.body;
        Ok(WatchedChanges { changes: decode_changes(&body, after)?, body })
    }

    async fn call(&self, path: &str, timeout: Duration) -> Result<BufferedResponse, ReadError> {
        let request = request(Method::GET, self.addr, path, Bytes::new());
        let deadline = Instant::now() + timeout;
        let bytes = self.settings.max_response_bytes;
        let reply = self.pool.call(self.addr, request, bytes, deadline).await;
        if reply.is_err() {
            self.pool.close_idle(self.addr);
        }
        let reply = reply?;
        match reply.status {
            StatusCode::OK => Ok(reply),
            StatusCode::GONE => Err(ReadError::HistoryGone),
            other => Err(ReadError::Status(other.as_u16())),
        }
    }
}
