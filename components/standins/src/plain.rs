//! A fake plain service that counts the runs of each idempotency key.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::ByteSize;
use net::{Latch, Listener, Request, Response, header, read_body};

/// Connections without data for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 1024;
/// Maximum size of a request body.
const MAX_BODY_SIZE: ByteSize = ByteSize(1 << 20);

#[derive(Default)]
struct Shared {
    runs: Mutex<HashMap<String, u32>>,
    down: Mutex<bool>,
}

/// A running plain service. It responds to each call with the body of the call, and counts runs by
/// `idempotency-key`, or by body for calls without a key.
pub struct PlainService {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl PlainService {
    /// Starts on a free port of the loopback interface; each call takes `call_time`.
    pub fn start(call_time: Duration) -> anyhow::Result<PlainService> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE_TIMEOUT, MAX_REQUESTS)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared::default());
        let stop = Latch::default();
        let handler_state = shared.clone();
        listener
            .serve(stop.clone(), move |request| handle_call(&handler_state, request, call_time));
        Ok(PlainService { shared, addr, stop })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Number of runs by idempotency key or body.
    pub fn run_counts(&self) -> HashMap<String, u32> {
        self.shared.runs.lock().expect("no holder panics").clone()
    }

    /// Sets whether the service is down: it then aborts each call before running it.
    pub fn set_down(&self, down: bool) {
        *self.shared.down.lock().expect("no holder panics") = down;
    }
}

impl Drop for PlainService {
    fn drop(&mut self) {
        self.stop.close();
    }
}

fn handle_call(shared: &Shared, mut request: Request, call_time: Duration) {
    let body = read_body(&mut request, MAX_BODY_SIZE).unwrap_or_default();
    if *shared.down.lock().expect("no holder panics") {
        request.abort();
        return;
    }
    if request.url() != "/healthz" {
        let key = header(&request, proto::header::IDEMPOTENCY_KEY).map(str::to_owned);
        let key = key.unwrap_or_else(|| String::from_utf8_lossy(&body).into_owned());
        *shared.runs.lock().expect("no holder panics").entry(key).or_default() += 1;
        std::thread::sleep(call_time);
    }
    request.respond(Response::from_data(body));
}
