//! A TCP relay that simulates a faulty link. It can blackhole the open connections, so that data sent
//! on them is dropped silently while new connections work; it can stall, and corrupt responses.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::ByteSize;
use net::Latch;

/// Interval at which the state of the relay is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Read timeout, after which the state of the relay is checked.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Size of the copy buffer in bytes.
const BUFFER_SIZE: usize = 16 << 10;

#[derive(Default)]
struct State {
    /// Number of connections that were opened.
    connections: AtomicU64,
    /// Connections up to this number are blackholed.
    blackholed: AtomicU64,
    /// Whether new connections are closed immediately.
    rejecting: AtomicBool,
    /// Whether forwarding is suspended.
    stalled: AtomicBool,
    /// One byte in this many bytes of responses is flipped; 0 for none.
    corrupt_every: AtomicU64,
    /// Bytes of responses so endpoint.
    response_bytes: AtomicU64,
    stop: Latch,
}

/// A running relay; dropping it closes all connections.
pub struct Relay {
    state: Arc<State>,
    addr: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target` on a free port of the loopback interface.
    pub fn start(target: SocketAddr) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        std::thread::spawn(move || accept(&listener, target, &shared));
        Ok(Relay { state, addr })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of connections that were opened so endpoint.
    pub fn connection_count(&self) -> u64 {
        self.state.connections.load(Ordering::SeqCst)
    }

    /// Drops all further data on the open connections without closing them, so neither end notices.
    pub fn blackhole(&self) {
        self.state.blackholed.store(self.connection_count(), Ordering::SeqCst);
    }

    /// Sets whether new connections are closed immediately.
    pub fn set_rejecting(&self, rejecting: bool) {
        self.state.rejecting.store(rejecting, Ordering::SeqCst);
    }

    /// Sets whether forwarding is suspended in both directions.
    pub fn set_stalled(&self, stalled: bool) {
        self.state.stalled.store(stalled, Ordering::SeqCst);
    }

    /// Flips one byte in each `every` bytes of the responses.
    pub fn corrupt_every(&self, every: ByteSize) {
        self.state.corrupt_every.store(every.0, Ordering::SeqCst);
    }
}

impl State {
    fn wait_while_stalled(&self) {
        while self.stalled.load(Ordering::SeqCst) && !self.stop.is_closed() {
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    /// Flips the last byte of `data`, a part of a response, if a corruption is due.
    fn corrupt_if_due(&self, data: &mut [u8]) {
        let count = data.len() as u64;
        let before = self.response_bytes.fetch_add(count, Ordering::SeqCst);
        let due = |every: u64| before / every != (before + count) / every;
        let every = self.corrupt_every.load(Ordering::SeqCst);
        if let Some(last) = data.last_mut().filter(|_| every > 0 && due(every)) {
            *last ^= 0xff;
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stop.close();
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    while !state.stop.is_closed() {
        let Ok((caller, _)) = listener.accept() else {
            std::thread::sleep(POLL_INTERVAL);
            continue;
        };
        let number = state.connections.fetch_add(1, Ordering::SeqCst) + 1;
        if state.rejecting.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(endpoint) = TcpStream::connect(target) else { continue };
        for (from, to, is_response) in [(&caller, &endpoint, false), (&endpoint, &caller, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let state = state.clone();
            std::thread::spawn(move || forward(from, to, is_response, number, &state));
        }
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, is_response: bool, number: u64, state: &State) {
    let set = from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(READ_TIMEOUT)));
    set.expect("the socket is open");
    let mut buffer = vec![0; BUFFER_SIZE];
    while !state.stop.is_closed() {
        let read = from.read(&mut buffer);
        state.wait_while_stalled();
        if let (Ok(n), true) = (&read, is_response) {
            state.corrupt_if_due(&mut buffer[..*n]);
        }
        let blackholed = state.blackholed.load(Ordering::SeqCst) >= number;
        match read {
            Ok(n) if n > 0 && blackholed => {}
            Ok(n) if n > 0 && to.write_all(&buffer[..n]).is_ok() => {}
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ if blackholed => std::thread::sleep(POLL_INTERVAL),
            _ => break,
        }
    }
    // The connection may already be closed.
    let _ = to.shutdown(Shutdown::Write);
}

#[cfg(test)]
mod tests;
