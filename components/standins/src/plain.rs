//! A plain service that counts the runs of each key.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::ByteSize;
use net::{Latch, Listener, Request, Response, header, read_body};

/// Longest wait for a connection's next bytes.
const IDLE: Duration = Duration::from_secs(60);
/// Most requests in progress.
const LIMIT: usize = 1024;
/// Largest accepted body.
const BODY: ByteSize = ByteSize(1 << 20);

#[derive(Default)]
struct Shared {
    runs: Mutex<HashMap<String, u32>>,
    down: Mutex<bool>,
}

/// The stand-in: answers each call with its body, and counts runs by `idempotency-key`, or by body
/// where there is none.
pub struct PlainService {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl PlainService {
    /// Starts on a free port of the loopback interface; each call takes `work`.
    pub fn start(work: Duration) -> anyhow::Result<PlainService> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE, LIMIT)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared::default());
        let stop = Latch::default();
        let served = shared.clone();
        listener.serve(stop.clone(), move |request| answer(&served, request, work));
        Ok(PlainService { shared, addr, stop })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Runs of each key.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Makes it break off each call before it runs, or answer again.
    pub fn set_down(&self, down: bool) {
        *self.shared.down.lock().expect("no holder panics") = down;
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.stop.close();
    }
}

fn answer(shared: &Shared, mut request: Request, work: Duration) {
    let body = read_body(&mut request, BODY).unwrap_or_default();
    if *shared.down.lock().expect("no holder panics") {
        request.abort();
        return;
    }
    if request.url() != "/healthz" {
        let key = header(&request, proto::header::IDEMPOTENCY_KEY).map(str::to_owned);
        let key = key.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
        *shared.runs.lock().expect("no holder panics").entry(key).or_default() += 1;
        std::thread::sleep(work);
    }
    request.respond(Response::from_data(body));
}
