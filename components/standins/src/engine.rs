//! A fake model engine: loads releases chunk by chunk, serves chat completions, and can crash.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base::{ByteSize, Digest};
use net::{Latch, Listener, Method, Request, Response, header, read_body, respond_with_error};
use serde_json::{Value, json};

use crate::slots::Slots;

/// Connections without data for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum number of concurrent requests.
const MAX_REQUESTS: usize = 1024;
/// Maximum size of a request body.
pub(crate) const MAX_BODY_SIZE: ByteSize = ByteSize(64 << 20);
/// A prompt that contains this text crashes the engine.
pub(crate) const CRASH_MARKER: &str = "CRASH";

/// Behavior of the engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSettings {
    /// Time to generate one token.
    pub token_time: Duration,
    /// Maximum number of requests that run at a time; others wait.
    pub slots: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Time for which the engine is down after a crash.
    pub restart_time: Duration,
    /// Delay with which the engine reports its load.
    pub load_report_delay: Duration,
}

impl Default for EngineSettings {
    fn default() -> EngineSettings {
        EngineSettings {
            token_time: Duration::from_millis(5),
            slots: 32,
            fencing: true,
            restart_time: Duration::from_millis(500),
            load_report_delay: Duration::from_millis(300),
        }
    }
}

/// Counters of the engine; they survive crashes.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Number of runs by attempt.
    pub runs: HashMap<String, u32>,
    /// Requests that were cancelled before they finished.
    pub cancelled: u32,
    /// Number of crashes.
    pub crashes: u32,
    /// Activations of a release while some of its chunks were missing.
    pub incomplete_activations: u32,
    /// Orders that were refused because of an old fencing number.
    pub fenced_orders: u32,
}

#[derive(Default)]
pub(crate) struct Completion {
    pub(crate) bytes: Vec<u8>,
    pub(crate) done: bool,
    pub(crate) cancelled: bool,
    pub(crate) release: String,
    pub(crate) stream: bool,
}

#[derive(Default)]
pub(crate) struct State {
    pub(crate) serving: Option<String>,
    pub(crate) prepared: Option<String>,
    pub(crate) needed: HashSet<String>,
    pub(crate) staged: HashSet<String>,
    pub(crate) fence: u64,
    /// Incremented at each crash; generations of an older epoch are aborted.
    pub(crate) epoch: u64,
    pub(crate) down_until: Option<Instant>,
    pub(crate) slots: Slots,
    /// Samples of the number of busy slots, oldest first.
    pub(crate) load_samples: Vec<(Instant, usize)>,
    pub(crate) completions: HashMap<String, Completion>,
    pub(crate) counts: EngineCounts,
}

/// What happens when a faulty release is activated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationFault {
    /// The engine refuses the order.
    Refused,
    /// The engine crashes at once.
    Crash,
    /// The engine serves the release and crashes after this time.
    CrashAfter(Duration),
}

pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    /// Faults by release.
    pub(crate) activation_faults: Mutex<HashMap<String, ActivationFault>>,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// A running fake engine; dropping it stops it.
pub struct Engine {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl Engine {
    /// Starts on a free port of the loopback interface, without a release.
    pub fn start(settings: EngineSettings) -> anyhow::Result<Engine> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE_TIMEOUT, MAX_REQUESTS)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared {
            settings,
            activation_faults: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let stop = Latch::default();
        let handler = shared.clone();
        listener.serve(stop.clone(), move |request| handler.handle_request(request));
        Ok(Engine { shared, addr, stop })
    }

    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The counters so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts.clone()
    }

    /// The release that the engine serves.
    pub fn serving(&self) -> Option<String> {
        self.shared.lock().serving.clone()
    }

    /// The release that is prepared and not yet activated.
    pub fn prepared(&self) -> Option<String> {
        self.shared.lock().prepared.clone()
    }

    /// Number of requests that occupy a slot.
    pub fn running_requests(&self) -> usize {
        self.shared.lock().slots.busy
    }

    /// Makes later activations of a release fail.
    pub fn set_activation_fault(&self, release: &str, fault: ActivationFault) {
        let mut faults = self.shared.activation_faults.lock().expect("no holder panics");
        faults.insert(release.to_owned(), fault);
    }

    /// Crashes the engine: it loses all releases and aborts all running requests.
    pub fn crash(&self) {
        self.shared.crash();
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.stop.close();
    }
}

impl Shared {
    pub(crate) fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    pub(crate) fn crash(&self) {
        let mut state = self.lock();
        let counts = std::mem::take(&mut state.counts);
        *state = State {
            epoch: state.epoch + 1,
            down_until: Some(Instant::now() + self.settings.restart_time),
            counts: EngineCounts { crashes: counts.crashes + 1, ..counts },
            ..State::default()
        };
        self.changed.notify_all();
    }

    fn handle_request(self: &Arc<Shared>, request: Request) {
        let down = self.lock().down_until.is_some_and(|until| Instant::now() < until);
        if down {
            request.abort();
            return;
        }
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        match (request.method().clone(), path) {
            (Method::GET, "/v1/state") => self.report_status(request),
            (Method::POST, "/v1/orders") => self.handle_order(request),
            (Method::POST, "/v1/chat/completions") => self.start_completion(request),
            (Method::PUT, _) => self.stage_chunk(request, path),
            (Method::GET, _) => match path.strip_prefix("/v1/answers/") {
                Some(id) => self.resume(request, id, &url),
                None => respond_with_error(request, 404, "no such path", "not-run"),
            },
            (Method::DELETE, _) => self.cancel(request, path),
            _ => respond_with_error(request, 404, "no such path", "not-run"),
        }
    }

    fn report_status(&self, request: Request) {
        let mut state = self.lock();
        let now = Instant::now();
        let busy = state.slots.busy;
        state.load_samples.push((now, busy));
        let lag = self.settings.load_report_delay;
        let delayed =
            state.load_samples.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        let reported = delayed.map_or(0, |(_, busy)| *busy);
        state.load_samples.retain(|(at, _)| now.duration_since(*at) < lag * 4);
        let body = json!({
            "serving": state.serving, "prepared": state.prepared, "fence": state.fence,
            "busy": reported, "slots": self.settings.slots,
        });
        drop(state);
        respond_json(request, &body);
    }

    fn activation_fault(&self, release: &str) -> Option<ActivationFault> {
        self.activation_faults.lock().expect("no holder panics").get(release).copied()
    }

    /// Crashes after `delay`, unless the engine has crashed in the meantime.
    fn crash_after(self: &Arc<Shared>, delay: Duration) {
        let engine = self.clone();
        let epoch = self.lock().epoch;
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            if engine.lock().epoch == epoch {
                engine.crash();
            }
        });
    }

    fn handle_order(self: &Arc<Shared>, mut request: Request) {
        let body = read_body(&mut request, MAX_BODY_SIZE).unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<Value>(&body) else {
            respond_with_error(request, 400, "order is not JSON", "not-run");
            return;
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let release = order["release"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        if self.settings.fencing && fence < state.fence {
            state.counts.fenced_orders += 1;
            drop(state);
            respond_with_error(
                request,
                409,
                "fencing number is old; read the state first",
                "not-run",
            );
            return;
        }
        state.fence = state.fence.max(fence);
        let activates = order["order"] == "activate" && state.prepared.as_ref() == Some(&release);
        match self.activation_fault(&release).filter(|_| activates) {
            Some(ActivationFault::Refused) => {
                state.prepared = None;
                drop(state);
                respond_with_error(request, 409, "the release does not fit this engine", "not-run");
                return;
            }
            Some(ActivationFault::Crash) => {
                drop(state);
                self.crash();
                request.abort();
                return;
            }
            Some(ActivationFault::CrashAfter(delay)) => {
                drop(state);
                self.crash_after(delay);
                state = self.lock();
            }
            None => {}
        }
        let accepted = self.apply_order(&mut state, &order, release);
        drop(state);
        if accepted {
            respond_json(request, &json!({ "accepted": true }));
        } else {
            respond_with_error(request, 409, "the release is not prepared", "not-run");
        }
    }

    /// Applies an order; returns whether it was accepted.
    fn apply_order(&self, state: &mut State, order: &Value, release: String) -> bool {
        match order["order"].as_str() {
            Some("prepare") => {
                let chunks = order["chunks"].as_array().cloned().unwrap_or_default();
                let text = |v: &Value| v.as_str().map(str::to_owned);
                state.needed = chunks.iter().filter_map(text).collect();
                state.staged = HashSet::new();
                state.prepared = Some(release);
                true
            }
            Some("activate") => {
                if state.prepared.as_deref() != Some(&release) {
                    return false;
                }
                if state.needed != state.staged {
                    state.counts.incomplete_activations += 1;
                }
                state.prepared = None;
                state.serving = Some(release);
                true
            }
            Some("abort") => {
                if state.prepared.as_deref() == Some(&release) {
                    state.prepared = None;
                    state.staged = HashSet::new();
                }
                true
            }
            Some("unload") => {
                state.serving = None;
                true
            }
            _ => false,
        }
    }

    fn stage_chunk(&self, mut request: Request, path: &str) {
        let name = path.strip_prefix("/v1/staging/").unwrap_or_default().to_owned();
        let release = header(&request, proto::header::RELEASE).unwrap_or_default().to_owned();
        let body = read_body(&mut request, MAX_BODY_SIZE).unwrap_or_default();
        let digest_matches = Digest::of(&body).to_string() == name;
        let mut state = self.lock();
        let wanted = state.prepared.as_deref() == Some(&release) && state.needed.contains(&name);
        if !digest_matches || !wanted {
            drop(state);
            respond_with_error(
                request,
                409,
                "the chunk is not part of the prepared release",
                "not-run",
            );
            return;
        }
        state.staged.insert(name);
        drop(state);
        respond_json(request, &json!({ "staged": true }));
    }
}

pub(crate) fn respond_json(request: Request, body: &Value) {
    request.respond(Response::from_string(body.to_string()));
}
