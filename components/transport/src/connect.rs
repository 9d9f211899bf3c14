//! Opens TCP connections that detect an unresponsive peer.

use std::{net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::TransportError;

/// Connect timeout and TCP keepalive settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectSettings {
    /// Maximum time to open a connection.
    pub timeout: Duration,
    /// Idle time after which keepalive probes are sent.
    pub keepalive_time: Duration,
    /// Interval between keepalive probes. The third one that is not answered ends the connection.
    pub keepalive_interval: Duration,
    /// Maximum time that sent bytes may stay unacknowledged before the connection is closed.
    pub unacked_timeout: Duration,
}

impl Default for ConnectSettings {
    fn default() -> ConnectSettings {
        ConnectSettings {
            timeout: Duration::from_millis(700),
            keepalive_time: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(1),
            unacked_timeout: Duration::from_millis(2500),
        }
    }
}

/// Sockets accept keepalive times only in whole seconds and reject 0.
const MIN_KEEPALIVE: Duration = Duration::from_secs(1);
/// Number of unanswered keepalive probes after which the next one ends the connection.
const KEEPALIVE_RETRIES: u32 = 2;

pub(crate) async fn connect(
    addr: SocketAddr,
    settings: &ConnectSettings,
) -> Result<TcpStream, TransportError> {
    let connecting = timeout(settings.timeout, TcpStream::connect(addr)).await;
    let stream = connecting.map_err(|_| TransportError::ConnectTimeout)??;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_time.max(MIN_KEEPALIVE))
        .with_interval(settings.keepalive_interval.max(MIN_KEEPALIVE))
        .with_retries(KEEPALIVE_RETRIES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.unacked_timeout))?;
    Ok(stream)
}
