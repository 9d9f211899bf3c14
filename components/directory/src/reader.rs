//! Calls to the store.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode};
use platform::store::{
    Changes, StoreEntry, StoreRevision, decode_changes, decode_page, range_path, watch_path,
};
use tokio::time::Instant;
use transport::{BufferedResponse, ConnectSettings, ConnectionPool, PoolSettings, request};

use crate::ReadError;

/// Bounds of calls to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReaderSettings {
    /// How connections are opened and watched.
    pub connect: ConnectSettings,
    /// Longest time of a read.
    pub read: Duration,
    /// Longest time that a watch waits for changes. A silent store is noticed only then.
    pub wait: Duration,
    /// Time beyond `wait` after which a watch counts as lost.
    pub grace: Duration,
    /// Most bytes of an answer.
    pub answer_bytes: usize,
}

impl Default for ReaderSettings {
    fn default() -> ReaderSettings {
        let connect = ConnectSettings {
            timeout: Duration::from_millis(700),
            keepalive_time: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(1),
            unacked_timeout: Duration::from_millis(1500),
        };
        ReaderSettings {
            connect,
            read: Duration::from_millis(1500),
            wait: Duration::from_millis(2500),
            grace: Duration::from_millis(700),
            answer_bytes: 16 << 20,
        }
    }
}

/// All that lies in the store.
#[derive(Debug)]
pub struct Snapshot {
    /// What lies there.
    pub entries: Vec<StoreEntry>,
    /// The revision to watch from. Pages are read one after the other, so that changes between them
    /// come again.
    pub at: StoreRevision,
}

/// Reads the store.
#[derive(Debug)]
pub struct Reader {
    addr: SocketAddr,
    settings: ReaderSettings,
    pool: ConnectionPool,
}

impl Reader {
    /// A reader of the store at `addr`.
    pub fn new(addr: SocketAddr, settings: ReaderSettings) -> Reader {
        let idle = settings.wait;
        let pool = PoolSettings {
            connect: settings.connect,
            idle_timeout: idle,
            ..PoolSettings::default()
        };
        Reader { addr, settings, pool: ConnectionPool::new(pool) }
    }

    /// Reads the store as a whole. A stale read may be seconds old.
    pub async fn read(&self, stale: bool) -> Result<Snapshot, ReadError> {
        let mut entries = Vec::new();
        let mut first = None;
        let mut after: Option<String> = None;
        loop {
            let path = range_path(after.as_deref(), stale);
            let page = decode_page(&self.call(&path, self.settings.read).await?.body)?;
            first = first.or(Some(page.revision));
            entries.extend(page.entries);
            match page.next {
                Some(next) => after = Some(next),
                None => return Ok(Snapshot { entries, at: first.unwrap_or(page.revision) }),
            }
        }
    }

    /// Waits for changes after a revision.
    pub async fn watch(&self, after: StoreRevision) -> Result<Changes, ReadError> {
        let path = watch_path(after, self.settings.wait);
        let reply = self.call(&path, self.settings.wait + self.settings.grace).await?;
        Ok(decode_changes(&reply.body)?)
    }

    async fn call(&self, path: &str, limit: Duration) -> Result<BufferedResponse, ReadError> {
        let request = request(Method::GET, self.addr, path, Bytes::new());
        let until = Instant::now() + limit;
        let bytes = self.settings.answer_bytes;
        let reply = self.pool.call(self.addr, request, bytes, until).await;
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
