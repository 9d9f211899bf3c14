//! A TCP relay that loses track of connections: what is sent on them vanishes, while new ones work.

use std::{
    io::{ErrorKind, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use net::Latch;

/// Longest wait before the state of the relay is looked at again.
const POLL: Duration = Duration::from_millis(20);
/// Bytes that are passed on at once.
const PIECE_BYTES: usize = 16 << 10;

#[derive(Default)]
struct State {
    /// Connections that were opened.
    opened: AtomicU64,
    /// Connections up to this one are lost.
    lost: AtomicU64,
    /// Whether new connections are closed at once.
    closed: AtomicBool,
    stop: Latch,
}

/// The relay; dropping it closes all connections.
pub struct Relay {
    state: Arc<State>,
    addr: SocketAddr,
}

impl Relay {
    /// Relays to `target` from a free port of the loopback interface.
    pub fn start(target: SocketAddr) -> anyhow::Result<Relay> {
        let listener = TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0))?;
        listener.set_nonblocking(true)?;
        let addr = listener.local_addr()?;
        let state = Arc::new(State::default());
        let shared = state.clone();
        std::thread::spawn(move || accept(&listener, target, &shared));
        Ok(Relay { state, addr })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Connections that were opened so far.
    pub fn opened(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Loses all connections that are open; neither end is told.
    pub fn lose(&self) {
        self.state.lost.store(self.opened(), Ordering::SeqCst);
    }

    /// Closes new connections at once, or passes them on again.
    pub fn set_closed(&self, closed: bool) {
        self.state.closed.store(closed, Ordering::SeqCst);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.state.stop.close();
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, state: &Arc<State>) {
    while !state.stop.is_closed() {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(POLL);
            continue;
        };
        let number = state.opened.fetch_add(1, Ordering::SeqCst) + 1;
        if state.closed.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(far) = TcpStream::connect(target) else { continue };
        for (from, to) in [(&near, &far), (&far, &near)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let state = state.clone();
            std::thread::spawn(move || pass(from, to, number, &state));
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, number: u64, state: &State) {
    let set = from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(POLL)));
    set.expect("the socket is open");
    let mut buffer = vec![0; PIECE_BYTES];
    while !state.stop.is_closed() {
        let read = from.read(&mut buffer);
        let lost = state.lost.load(Ordering::SeqCst) >= number;
        match read {
            Ok(n) if n > 0 && lost => {}
            Ok(n) if n > 0 && to.write_all(&buffer[..n]).is_ok() => {}
            Err(err) if matches!(err.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            _ if lost => std::thread::sleep(POLL),
            _ => break,
        }
    }
    // Either end may be closed already.
    let _ = to.shutdown(Shutdown::Write);
}

#[cfg(test)]
mod tests;
