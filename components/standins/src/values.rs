//! A configuration service or VM list: values that are read and watched, never written by the
//! system.

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
use net::{Latch, Listener, Request, Response, query};

/// Longest wait for a connection's next bytes.
const IDLE: Duration = Duration::from_secs(60);
/// Most requests in progress.
const LIMIT: usize = 4096;

#[derive(Default)]
struct Shared {
    values: Mutex<HashMap<String, (u64, Vec<u8>)>>,
    changed: Condvar,
    down: AtomicBool,
    reads: AtomicU64,
    /// Reads and watches of each value.
    reads_of: Mutex<HashMap<String, u64>>,
}

/// The stand-in.
pub struct ValueService {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl ValueService {
    /// Starts on a free port of the loopback interface.
    pub fn start() -> anyhow::Result<ValueService> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE, LIMIT)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared::default());
        let stop = Latch::default();
        let served = shared.clone();
        listener.serve(stop.clone(), move |request| answer(&served, request));
        Ok(ValueService { shared, addr, stop })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Publishes a value.
    pub fn publish(&self, name: &str, revision: u64, text: impl Into<Vec<u8>>) {
        let mut values = self.shared.values.lock().expect("no holder panics");
        values.insert(name.to_owned(), (revision, text.into()));
        self.shared.changed.notify_all();
    }

    /// Makes the service answer with an error, or again as usual.
    pub fn set_down(&self, down: bool) {
        self.shared.down.store(down, Ordering::Relaxed);
        self.shared.changed.notify_all();
    }

    /// Reads and watches so far.
    pub fn read_count(&self) -> u64 {
        self.shared.reads.load(Ordering::Relaxed)
    }

    /// Reads and watches of one value so far.
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

fn answer(shared: &Shared, request: Request) {
    shared.reads.fetch_add(1, Ordering::Relaxed);
    let url = request.url().to_owned();
    let path = url.split('?').next().unwrap_or_default();
    let name = path.strip_prefix("/v1/values/").unwrap_or_default();
    let mut reads_of = shared.reads_of.lock().expect("no holder panics");
    *reads_of.entry(name.to_owned()).or_default() += 1;
    drop(reads_of);
    let number = |key| query(&url, key).and_then(|v| v.parse::<u64>().ok());
    let until = Instant::now() + Duration::from_secs(number("wait").unwrap_or(0).min(30));
    match wait_for(shared, name, number("after"), until) {
        _ if shared.down.load(Ordering::Relaxed) => respond(request, 503, None),
        Some((revision, text)) => respond(request, 200, Some((revision, text))),
        None if number("after").is_some() => respond(request, 204, None),
        None => respond(request, 404, None),
    }
}

fn wait_for(
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
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || shared.down.load(Ordering::Relaxed) {
            return None;
        }
        values = shared.changed.wait_timeout(values, left).expect("no holder panics").0;
    }
}

fn respond(request: Request, status: u16, value: Option<(u64, Vec<u8>)>) {
    let (revision, text) = value.unwrap_or_default();
    let response = Response::from_data(text).with_status_code(status);
    request.respond(response.with_header("x-revision", &revision.to_string()));
}

/// A manifest as it is published.
pub fn manifest_value(manifest: &Manifest) -> Vec<u8> {
    serde_json::to_vec(manifest).expect("a manifest has no keys that JSON refuses")
}

/// A VM list as it is published.
pub fn vms_value(vms: &VmList) -> Vec<u8> {
    serde_json::to_vec(vms).expect("a VM list has no keys that JSON refuses")
}
