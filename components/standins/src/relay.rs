//! A faulty link: a TCP relay in front of a process that corrupts bytes, stalls or is cut.

use std::{
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::ByteSize;

/// Pause before a stalled connection is looked at again.
const POLL: Duration = Duration::from_millis(20);
/// Bytes that are passed on at a time.
const BUFFER_BYTES: usize = 64 << 10;
/// Stack of a thread that passes bytes on.
const STACK_BYTES: usize = 128 << 10;

#[derive(Default)]
struct Shared {
    /// One byte in so many of the answers is flipped; 0 for none.
    corrupt_every: AtomicU64,
    /// Bytes of answers since the last that was flipped.
    passed: AtomicU64,
    stalled: AtomicBool,
    closed: AtomicBool,
}

/// The relay; dropping it cuts all connections.
pub struct Relay {
    shared: Arc<Shared>,
    addr: SocketAddr,
}

impl Relay {
    /// Starts a relay to `target` on a free port of the loopback interface.
    pub fn start(target: SocketAddr) -> std::io::Result<Relay> {
        let listener = TcpListener::bind(("127.0.0.1", 0))?;
        let addr = listener.local_addr()?;
        let shared = Arc::new(Shared::default());
        let served = shared.clone();
        std::thread::spawn(move || accept(&listener, target, &served));
        Ok(Relay { shared, addr })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Flips one byte in each `every` bytes of the answers.
    pub fn corrupt(&self, every: ByteSize) {
        self.shared.corrupt_every.store(every.0, Ordering::Relaxed);
    }

    /// Stops passing bytes on, in both directions, or goes on.
    pub fn stall(&self, stalled: bool) {
        self.shared.stalled.store(stalled, Ordering::Relaxed);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.closed.store(true, Ordering::Relaxed);
        // Wakes the accepting thread, which then ends; it may have ended already.
        let _ = TcpStream::connect(self.addr);
    }
}

impl Shared {
    fn closed(&self) -> bool {
        self.closed.load(Ordering::Relaxed)
    }

    fn wait_while_stalled(&self) {
        while self.stalled.load(Ordering::Relaxed) && !self.closed() {
            std::thread::sleep(POLL);
        }
    }

    fn flip(&self, bytes: &mut [u8]) {
        let every = self.corrupt_every.load(Ordering::Relaxed);
        let before = self.passed.fetch_add(bytes.len() as u64, Ordering::Relaxed);
        if every > 0 && before / every != (before + bytes.len() as u64) / every {
            let last = bytes.len() - 1;
            bytes[last] ^= 0xff;
        }
    }
}

fn accept(listener: &TcpListener, target: SocketAddr, shared: &Arc<Shared>) {
    for near in listener.incoming().flatten() {
        if shared.closed() {
            return;
        }
        let Ok(far) = TcpStream::connect(target) else { continue };
        let (Ok(near_out), Ok(far_out)) = (near.try_clone(), far.try_clone()) else { continue };
        let (up, down) = (shared.clone(), shared.clone());
        spawn(move || pass(near, far_out, &up, false));
        spawn(move || pass(far, near_out, &down, true));
    }
}

fn spawn(job: impl FnOnce() + Send + 'static) {
    // A connection whose thread cannot start breaks off.
    let _ = std::thread::Builder::new().stack_size(STACK_BYTES).spawn(job);
}

fn pass(mut from: TcpStream, mut to: TcpStream, shared: &Shared, answers: bool) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        shared.wait_while_stalled();
        if shared.closed() {
            break;
        }
        if answers {
            shared.flip(&mut buffer[..count]);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // Either end may be closed already.
    let _ = to.shutdown(Shutdown::Both);
    let _ = from.shutdown(Shutdown::Both);
}
