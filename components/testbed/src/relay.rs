//! A TCP relay that stands for a faulty link. It can lose track of connections, so that what is sent
//! on them vanishes while new ones work; it can stall, and it can corrupt answers.

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

/// Longest wait before the state of the relay is looked at again.
const POLL: Duration = Duration::from_millis(20);
/// Longest wait for bytes before the state of the relay is looked at again.
const READ_POLL: Duration = Duration::from_millis(200);
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
    /// Whether nothing is passed on for now.
    stalled: AtomicBool,
    /// One byte in so many of the answers is flipped; 0 for none.
    corrupt_every: AtomicU64,
    /// Bytes of answers so far.
    answered: AtomicU64,
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
    pub fn connection_count(&self) -> u64 {
        self.state.opened.load(Ordering::SeqCst)
    }

    /// Loses all connections that are open; neither end is told.
    pub fn blackhole(&self) {
        self.state.lost.store(self.connection_count(), Ordering::SeqCst);
    }

    /// Closes new connections at once, or passes them on again.
    pub fn set_rejecting(&self, closed: bool) {
        self.state.closed.store(closed, Ordering::SeqCst);
    }

    /// Stops passing bytes on, in both directions, or goes on.
    pub fn set_stalled(&self, stalled: bool) {
        self.state.stalled.store(stalled, Ordering::SeqCst);
    }

    /// Flips one byte in each `every` bytes of the answers.
    pub fn corrupt_every(&self, every: ByteSize) {
        self.state.corrupt_every.store(every.0, Ordering::SeqCst);
    }
}

impl State {
    fn wait_while_stalled(&self) {
        while self.stalled.load(Ordering::SeqCst) && !self.stop.is_closed() {
            std::thread::sleep(POLL);
        }
    }

    /// Flips the last byte of a piece of an answer, if one is due.
    fn flip(&self, piece: &mut [u8]) {
        let count = piece.len() as u64;
        let before = self.answered.fetch_add(count, Ordering::SeqCst);
        let due = |every: u64| before / every != (before + count) / every;
        let every = self.corrupt_every.load(Ordering::SeqCst);
        if let Some(last) = piece.last_mut().filter(|_| every > 0 && due(every)) {
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
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(POLL);
            continue;
        };
        let number = state.opened.fetch_add(1, Ordering::SeqCst) + 1;
        if state.closed.load(Ordering::SeqCst) {
            continue;
        }
        let Ok(far) = TcpStream::connect(target) else { continue };
        for (from, to, answers) in [(&near, &far, false), (&far, &near, true)] {
            let (Ok(from), Ok(to)) = (from.try_clone(), to.try_clone()) else { continue };
            let state = state.clone();
            std::thread::spawn(move || pass(from, to, answers, number, &state));
        }
    }
}

fn pass(mut from: TcpStream, mut to: TcpStream, answers: bool, number: u64, state: &State) {
    let set = from.set_nonblocking(false).and_then(|()| from.set_read_timeout(Some(READ_POLL)));
    set.expect("the socket is open");
    let mut buffer = vec![0; PIECE_BYTES];
    while !state.stop.is_closed() {
        let read = from.read(&mut buffer);
        state.wait_while_stalled();
        if let (Ok(n), true) = (&read, answers) {
            state.flip(&mut buffer[..*n]);
        }
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
