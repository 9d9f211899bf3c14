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
    pub probe_after: Duration,
    /// Time between probes; the third one that is not answered ends the connection.
    pub probe_every: Duration,
    /// Longest time that sent bytes stay unacknowledged.
    pub unacked: Duration,
}

impl Default for ConnectSettings {
    fn default() -> ConnectSettings {
        ConnectSettings {
            timeout: Duration::from_millis(700),
            probe_after: Duration::from_secs(1),
            probe_every: Duration::from_secs(1),
            unacked: Duration::from_millis(2500),
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
        .with_time(settings.probe_after.max(LEAST_PROBE))
        .with_interval(settings.probe_every.max(LEAST_PROBE))
        .with_retries(PROBES);
    let socket = SockRef::from(&stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(settings.unacked))?;
    Ok(stream)
}
