//! A fake configuration service and VM list: named values that the system reads and watches, but never
//! writes.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use manifest::{Manifest, VmList};
use net::{Latch, Listener, Request, Response, query_param};

/// Connections without data for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 4096;

#[derive(Default)]
struct Shared {
    values: Mutex<HashMap<String, (u64, Vec<u8>)>>,
    changed: Condvar,
    down: AtomicBool,
    reads: AtomicU64,
    /// Number of reads and watches by value.
    reads_of: Mutex<HashMap<String, u64>>,
}

/// A running value service; dropping it stops it.
pub struct ValueService {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl ValueService {
    /// Starts on a free port of the loopback interface.
    pub fn start() -> anyhow::Result<ValueService> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE_TIMEOUT, MAX_REQUESTS)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared::default());
        let stop = Latch::default();
        let handler_state = shared.clone();
        listener.serve(stop.clone(), move |request| handle_read(&handler_state, request));
        Ok(ValueService { shared, addr, stop })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publishes a revision of a value and wakes its watchers.
    pub fn publish(&self, name: &str, revision: u64, text: impl Into<Vec<u8>>) {
        let mut values = self.shared.values.lock().expect("no holder panics");
        values.insert(name.to_owned(), (revision, text.into()));
        self.shared.changed.notify_all();
    }

    /// Sets whether the service is down: it then responds with status 503.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }

    /// Number of reads and watches so far.
    pub fn read_count(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }

    /// Number of reads and watches of one value so far.
    pub fn read_count_of(&self, name: &str) -> u64 {
        let reads_of = self.shared.reads_of.lock().expect("no holder panics");
        reads_of.get(name).copied().unwrap_or(0)
    }
}

impl Drop for ValueService {
    fn drop(&mut self) {
        self.stop.close();
    }
}

fn handle_read(shared: &Shared, request: Request) {
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/v1/values/").unwrap_or_default();
    let mut reads_of = shared.reads_of.lock().expect("no holder panics");
    *reads_of.entry(name.to_owned()).or_default() += 1;
    drop(reads_of);
    let number_param = |key| query_param(&url, key).and_then(|v| v.parse::<u64>().ok());
    let until = Instant::now() + Duration::from_secs(number_param("wait").unwrap_or(0).min(30));
    match wait_for_revision(shared, name, number_param("after"), until) {
        _ if shared.down.load(Ordering::Relaxed) => respond(request, 503, None),
        Some((revision, text)) => respond(request, 200, Some((revision, text))),
        None if number_param("after").is_some() => respond(request, 204, None),
        None => respond(request, 404, None),
    }
}

/// Waits until `until` for a revision of the value that is newer than `after`.
fn wait_for_revision(
    shared: &Shared,
    name: &str,
    after: Option<u64>,
    until: Instant,
) -> Option<(u64, Vec<u8>)> {
    let mut values = shared.values.lock().expect("no holder panics");
    loop {
        let newer = |(revision, _): &&(u64, Vec<u8>)| after.is_none_or(|after| *revision > after);
        if let Some(value) = values.get(name).filter(newer) {
            return Some(value.clone());
        }
        let remaining = until.saturating_duration_since(Instant::now());
        if remaining.is_zero() || shared.down.load(Ordering::Relaxed) {
            return None;
        }
        values = shared.changed.wait_timeout(values, remaining).expect("no holder panics").0;
    }
}

fn respond(request: Request, status: u16, value: Option<(u64, Vec<u8>)>) {
    let (revision, text) = value.unwrap_or_default();
    let response = Response::from_data(text).with_status_code(status);
    request.respond(response.with_header("x-revision", &revision.to_string()));
}

/// The published form of a manifest: JSON.
pub fn manifest_value(manifest: &Manifest) -> Vec<u8> {
    serde_json::to_vec(manifest).expect("manifests serialize to JSON")
}

/// The published form of a VM list: JSON.
pub fn vms_value(vms: &VmList) -> Vec<u8> {
    serde_json::to_vec(vms).expect("VM lists serialize to JSON")
}
