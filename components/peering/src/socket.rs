//! The UDP socket for datagrams.

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
};

use tokio::net::UdpSocket;

use crate::Message;

/// Maximum size of a datagram in bytes, so that it fits into one packet.
pub const MAX_DATAGRAM: usize = 1400;

/// Sends and receives datagrams between processes, which all use the same port.
#[derive(Debug)]
pub struct PeerSocket {
    socket: UdpSocket,
    port: u16,
}

impl PeerSocket {
    /// Binds `addr`. Its port is also the port of all peers.
    pub async fn bind(addr: SocketAddr) -> io::Result<PeerSocket> {
        let socket = UdpSocket::bind(addr).await?;
        Ok(PeerSocket { socket, port: addr.port() })
    }

    /// Sends a message without waiting; one that cannot be sent at once counts as lost. Returns
    /// whether it was sent.
    pub fn send(&self, to: Ipv4Addr, message: &Message) -> bool {
        let Ok(bytes) = message.encode() else { return false };
        if bytes.len() > MAX_DATAGRAM {
            return false;
        }
        self.socket.try_send_to(&bytes, (to, self.port).into()).is_ok()
    }

    /// Receives the next message and its sender; datagrams that cannot be decoded are dropped.
    pub async fn receive(&self) -> io::Result<(Ipv4Addr, Message)> {
        let mut buffer = [0; MAX_DATAGRAM];
        loop {
            let (len, from) = self.socket.recv_from(&mut buffer).await?;
            if let (SocketAddr::V4(from), Ok(message)) = (from, Message::decode(&buffer[..len])) {
                return Ok((*from.ip(), message));
            }
        }
    }
}
