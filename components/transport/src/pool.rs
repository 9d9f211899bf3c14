//! A pool of idle connections for reuse.

use std::{cell::RefCell, collections::HashMap, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::time::Instant;

use crate::{BufferedResponse, CallLimits, ConnectSettings, Connection, Exchange, TransportError};

/// Limits of a connection pool.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PoolSettings {
    /// Settings for opening connections.
    pub connect: ConnectSettings,
    /// Maximum time that an idle connection is kept, also if the peer states a longer keep-alive time.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections to one address.
    pub max_idle_per_addr: usize,
}

impl Default for PoolSettings {
    fn default() -> PoolSettings {
        let idle = Duration::from_secs(2);
        PoolSettings {
            connect: ConnectSettings::default(),
            idle_timeout: idle,
            max_idle_per_addr: 32,
        }
    }
}

/// Fraction of the peer's keep-alive time during which an idle connection is reused.
const IDLE_FRACTION: f64 = 0.7;

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    settings: PoolSettings,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> ConnectionPool {
        ConnectionPool { settings, idle: RefCell::default() }
    }

    /// Returns the settings for opening connections.
    pub fn connect_settings(&self) -> &ConnectSettings {
        &self.settings.connect
    }

    /// Takes the most recently used idle connection to `addr`, if there is one.
    pub fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&addr)?;
        while let Some(connection) = connections.pop() {
            let age = connection.idle_since.elapsed();
            if connection.is_ready() && age < connection.idle_limit {
                return Some(connection);
            }
        }
        None
    }

    /// Returns a connection to the pool after a complete response. `keep_alive` is how long the peer
    /// says that it keeps the connection open.
    pub fn put_back(&self, mut connection: Connection, keep_alive: Option<Duration>) {
        let idle = self.settings.idle_timeout;
        connection.idle_limit =
            keep_alive.map_or(idle, |time| time.mul_f64(IDLE_FRACTION).min(idle));
        connection.idle_since = Instant::now();
        if connection.idle_limit.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(connection.addr()).or_default();
        if connections.len() >= self.settings.max_idle_per_addr {
            connections.remove(0);
        }
        connections.push(connection);
    }

    /// Closes connections that exceeded their idle limit or were closed by the peer.
    pub fn close_expired(&self) {
        self.idle.borrow_mut().retain(|_, connections| {
            connections.retain(|c| c.is_ready() && c.idle_since.elapsed() < c.idle_limit);
            !connections.is_empty()
        });
    }

    /// Closes all idle connections to `addr`.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Returns the number of idle connections.
    pub fn len(&self) -> usize {
        self.idle.borrow().values().map(Vec::len).sum()
    }

    /// Whether the pool holds no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Takes an idle connection to `addr` or opens a new one.
    pub async fn get(&self, addr: SocketAddr) -> Result<Connection, TransportError> {
        match self.take_idle(addr) {
            Some(connection) => Ok(connection),
            None => Connection::open(addr, &self.settings.connect).await,
        }
    }

    /// Sends an idempotent request, on an idle connection if there is one. If that connection turns
    /// out to be closed, the request is sent again on a new one.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Exchange, TransportError> {
        let connection = self.get(addr).await?;
        let used = connection.is_used();
        match connection.send(request.clone(), until).await {
            Err(
                TransportError::Unsent | TransportError::Broken(_) | TransportError::Invalid(_),
            ) if used => {
                let connection = Connection::open(addr, &self.settings.connect).await?;
                connection.send(request, until).await
            }
            result => result,
        }
    }

    /// Sends an idempotent request and reads the complete response of at most `limit` bytes.
    pub async fn call(
        &self,
        addr: SocketAddr,
        request: Request<Full<Bytes>>,
        limit: usize,
        limits: impl Into<CallLimits>,
    ) -> Result<BufferedResponse, TransportError> {
        let limits = limits.into();
        let exchange = self.send(addr, request, limits.begin).await?;
        let begun_at = Instant::now();
        let (response, connection) = exchange.read_body(limit, limits.body).await?;
        self.put_back(connection, None);
        let (head, body) = response.into_parts();
        Ok(BufferedResponse { status: head.status, headers: head.headers, body, begun_at })
    }
}
