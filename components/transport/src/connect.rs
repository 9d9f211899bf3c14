//! Opening connections that notice a silent peer.

use std::{net::SocketAddr, time::Duration};

use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use crate::TransportError;

/// How connections are opened and watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectSettings {
    /// Longest time to open a connection.
    pub timeout: Duration,
    /// Time without a byte after which the peer is probed.
    pub keepalive_time: Duration,
    /// Time between probes; the third one that is not answered ends the connection.
    pub keepalive_interval: Duration,
    /// Longest time that sent bytes stay unacknowledged.
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

/// Sockets take times for probes in whole seconds, and refuse 0.
const LEAST_PROBE: Duration = Duration::from_secs(1);
/// Probes without an answer that end a connection.
const PROBES: u32 = 2;

pub(crate) async fn connect(
    addr: SocketAddr,
    settings: &ConnectSettings,
) -> Result<TcpStream, TransportError> {
    let connecting = timeout(settings.timeout, TcpStream::connect(addr)).await;
    let stream = connecting.map_err(|_| TransportError::ConnectTimeout)??;
    stream.set_nodelay(true)?;
    let keepalive = TcpKeepalive::new()
        .with_time(settings.keepalive_time.max(LEAST_PROBE))
        .with_interval(settings.keepalive_interval.max(LEAST_PROBE))
        .with_retries(PROBES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.unacked_timeout))?;
    Ok(stream)
}
