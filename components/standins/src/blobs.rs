//! A fake blob service, used as the origin of weights or as the weight store.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{ByteRate, Digest};
use bytes::Bytes;
use net::{Latch, Listener, Request, Response, respond_with_error};

/// Connections without data for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 4096;

/// Faults that a blob service injects.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct BlobFaults {
    /// Fraction (0..1) of the reads whose bytes are corrupted.
    pub corrupted_fraction: f64,
    /// Fraction (0..1) of the reads that stall.
    pub stalled_fraction: f64,
    /// Additional time that a stalled read takes.
    pub stall_time: Duration,
    /// If set, all reads are refused with status 429 and this `retry-after` time.
    pub retry_after: Option<Duration>,
}

struct Shared {
    blobs: Mutex<HashMap<Digest, Bytes>>,
    /// When the link has sent everything that was reserved on it.
    free_at: Mutex<Instant>,
    rate: ByteRate,
    faults: Mutex<(BlobFaults, fastrand::Rng)>,
    sent: AtomicU64,
    reads: AtomicU64,
}

/// A running blob service; all readers share the rate of its link.
pub struct BlobService {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl BlobService {
    /// Starts on a free port of the loopback interface.
    pub fn start(rate: ByteRate, seed: u64) -> anyhow::Result<BlobService> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE_TIMEOUT, MAX_REQUESTS)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared {
            blobs: Mutex::default(),
            free_at: Mutex::new(Instant::now()),
            rate,
            faults: Mutex::new((BlobFaults::default(), fastrand::Rng::with_seed(seed))),
            sent: AtomicU64::new(0),
            reads: AtomicU64::new(0),
        });
        let stop = Latch::default();
        let handler_state = shared.clone();
        listener.serve(stop.clone(), move |request| handle_read(&handler_state, request));
        Ok(BlobService { shared, addr, stop })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stores a chunk under its digest.
    pub fn add_chunk(&self, chunk: Bytes) {
        let mut blobs = self.shared.blobs.lock().expect("no holder panics");
        blobs.insert(Digest::of(&chunk), chunk);
    }

    /// Replaces the faults for later reads.
    pub fn set_faults(&self, faults: BlobFaults) {
        self.shared.faults.lock().expect("no holder panics").0 = faults;
    }

    /// Bytes sent so far.
    pub fn bytes_sent(&self) -> u64 {
        self.shared.sent.load(Ordering::Relaxed)
    }

    /// Read requests so far, including refused ones.
    pub fn read_count(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }
}

impl Drop for BlobService {
    fn drop(&mut self) {
        self.stop.close();
    }
}

fn handle_read(shared: &Shared, request: Request) {
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let busy = shared.faults.lock().expect("no holder panics").0.retry_after;
    if let Some(wait) = busy {
        let response = Response::from_string("reads are limited").with_status_code(429);
        request.respond(response.with_header("retry-after", &wait.as_secs_f64().to_string()));
        return;
    }
    let digest = request.url().strip_prefix("/v1/blobs/").and_then(|d| d.parse::<Digest>().ok());
    let blob = digest.and_then(|d| shared.blobs.lock().expect("no holder panics").get(&d).cloned());
    let Some(blob) = blob else {
        respond_with_error(request, 404, "no such chunk; publish it", "run");
        return;
    };
    std::thread::sleep(reserve_link(shared, blob.len()));
    shared.sent.fetch_add(blob.len() as u64, Ordering::Relaxed);
    let blob = apply_faults(shared, blob);
    request.respond(Response::from_data(blob));
}

/// Reserves the shared link for `bytes` and returns the time until they are sent.
fn reserve_link(shared: &Shared, bytes: usize) -> Duration {
    let now = Instant::now();
    let mut free_at = shared.free_at.lock().expect("no holder panics");
    *free_at = (*free_at).max(now) + shared.rate.time_for(base::ByteSize(bytes as u64));
    free_at.saturating_duration_since(now)
}

fn apply_faults(shared: &Shared, blob: Bytes) -> Vec<u8> {
    let (corrupt, stall) = {
        let mut guard = shared.faults.lock().expect("no holder panics");
        let (faults, rng) = &mut *guard;
        let corrupt = rng.f64() < faults.corrupted_fraction;
        let stall = (rng.f64() < faults.stalled_fraction).then_some(faults.stall_time);
        (corrupt, stall)
    };
    std::thread::sleep(stall.unwrap_or_default());
    let mut bytes = blob.to_vec();
    if corrupt && !bytes.is_empty() {
        bytes[0] ^= 0xff;
    }
    bytes
}
