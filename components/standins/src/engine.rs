//! A model engine: loads releases chunk by chunk, answers chat completions, and can crash.

use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex, MutexGuard},
    time::{Duration, Instant},
};

use base::{ByteSize, Digest};
use net::{Latch, Listener, Method, Request, Response, header, read_body, refuse};
use serde_json::{Value, json};

use crate::slots::Slots;

/// Longest wait for a connection's next bytes.
const IDLE: Duration = Duration::from_secs(60);
/// Most requests in progress.
const LIMIT: usize = 1024;
/// Largest accepted body.
pub(crate) const BODY: ByteSize = ByteSize(64 << 20);
/// Text in a prompt that crashes the engine.
pub(crate) const CRASH_MARK: &str = "CRASH";

/// How the engine behaves.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSettings {
    /// Time for each token.
    pub token_time: Duration,
    /// Requests that run at a time; the others wait.
    pub slots: usize,
    /// Whether it refuses orders with an old fencing number.
    pub fencing: bool,
    /// Time that it is down after a crash.
    pub restart_time: Duration,
    /// Age of the load that it reports.
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

/// What the engine counted.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Requests that ran, by attempt.
    pub runs: HashMap<String, u32>,
    /// Requests that were cancelled before their end.
    pub cancelled: u32,
    /// Crashes.
    pub crashes: u32,
    /// Activations of a release whose chunks were not all there.
    pub incomplete_activations: u32,
    /// Orders refused for their fencing number.
    pub fenced_orders: u32,
}

#[derive(Default)]
pub(crate) struct Answer {
    pub(crate) bytes: Vec<u8>,
    pub(crate) done: bool,
    pub(crate) broken: bool,
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
    /// Grows with each crash; what belongs to an older one is broken.
    pub(crate) epoch: u64,
    pub(crate) down_until: Option<Instant>,
    pub(crate) slots: Slots,
    pub(crate) loads: Vec<(Instant, usize)>,
    pub(crate) answers: HashMap<String, Answer>,
    pub(crate) counts: EngineCounts,
}

/// What a release does to the engine when it is activated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ActivationFault {
    /// The engine refuses it.
    Refused,
    /// The engine crashes at once.
    Crash,
    /// The engine serves it and crashes after this time.
    CrashAfter(Duration),
}

pub(crate) struct Shared {
    pub(crate) settings: EngineSettings,
    /// Releases that do not work here.
    pub(crate) flaws: Mutex<HashMap<String, ActivationFault>>,
    pub(crate) state: Mutex<State>,
    pub(crate) changed: Condvar,
}

/// The stand-in.
pub struct Engine {
    shared: Arc<Shared>,
    addr: SocketAddr,
    stop: Latch,
}

impl Engine {
    /// Starts on a free port of the loopback interface, with no weights.
    pub fn start(settings: EngineSettings) -> anyhow::Result<Engine> {
        let listener = Listener::bind(([127, 0, 0, 1], 0).into(), IDLE, LIMIT)?;
        let addr = listener.addr();
        let shared = Arc::new(Shared {
            settings,
            flaws: Mutex::default(),
            state: Mutex::default(),
            changed: Condvar::new(),
        });
        let stop = Latch::default();
        let served = shared.clone();
        listener.serve(stop.clone(), move |request| served.answer(request));
        Ok(Engine { shared, addr, stop })
    }

    /// Its address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// What it counted so far.
    pub fn counts(&self) -> EngineCounts {
        self.shared.lock().counts.clone()
    }

    /// The release that it serves.
    pub fn serving(&self) -> Option<String> {
        self.shared.lock().serving.clone()
    }

    /// The release that it holds prepared.
    pub fn prepared(&self) -> Option<String> {
        self.shared.lock().prepared.clone()
    }

    /// Requests that it generates answers to now.
    pub fn running_requests(&self) -> usize {
        self.shared.lock().slots.busy
    }

    /// Makes a release fail when it is activated.
    pub fn set_activation_fault(&self, release: &str, flaw: ActivationFault) {
        let mut flaws = self.shared.flaws.lock().expect("no holder panics");
        flaws.insert(release.to_owned(), flaw);
    }

    /// Crashes it: all that it held is gone and all that it ran breaks off.
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

    fn answer(self: &Arc<Shared>, request: Request) {
        let down = self.lock().down_until.is_some_and(|until| Instant::now() < until);
        if down {
            request.abort();
            return;
        }
        let url = request.url().to_owned();
        let path = url.split('?').next().unwrap_or_default();
        match (request.method().clone(), path) {
            (Method::GET, "/v1/state") => self.report(request),
            (Method::POST, "/v1/orders") => self.order(request),
            (Method::POST, "/v1/chat/completions") => self.complete(request),
            (Method::PUT, _) => self.stage(request, path),
            (Method::GET, _) => match path.strip_prefix("/v1/answers/") {
                Some(id) => self.resume(request, id, &url),
                None => refuse(request, 404, "no such path", "not-run"),
            },
            (Method::DELETE, _) => self.cancel(request, path),
            _ => refuse(request, 404, "no such path", "not-run"),
        }
    }

    fn report(&self, request: Request) {
        let mut state = self.lock();
        let now = Instant::now();
        let busy = state.slots.busy;
        state.loads.push((now, busy));
        let lag = self.settings.load_report_delay;
        let old = state.loads.iter().rev().find(|(at, _)| now.duration_since(*at) >= lag);
        let reported = old.map_or(0, |(_, busy)| *busy);
        state.loads.retain(|(at, _)| now.duration_since(*at) < lag * 4);
        let body = json!({
            "serving": state.serving, "prepared": state.prepared, "fence": state.fence,
            "busy": reported, "slots": self.settings.slots,
        });
        drop(state);
        respond_json(request, &body);
    }

    fn flaw(&self, release: &str) -> Option<ActivationFault> {
        self.flaws.lock().expect("no holder panics").get(release).copied()
    }

    /// Crashes after `wait`, unless it crashed meanwhile.
    fn crash_later(self: &Arc<Shared>, wait: Duration) {
        let engine = self.clone();
        let epoch = self.lock().epoch;
        std::thread::spawn(move || {
            std::thread::sleep(wait);
            if engine.lock().epoch == epoch {
                engine.crash();
            }
        });
    }

    fn order(self: &Arc<Shared>, mut request: Request) {
        let body = read_body(&mut request, BODY).unwrap_or_default();
        let Ok(order) = serde_json::from_slice::<Value>(&body) else {
            refuse(request, 400, "order is not JSON", "not-run");
            return;
        };
        let fence = order["fence"].as_u64().unwrap_or(0);
        let release = order["release"].as_str().unwrap_or_default().to_owned();
        let mut state = self.lock();
        if self.settings.fencing && fence < state.fence {
            state.counts.fenced_orders += 1;
            drop(state);
            refuse(request, 409, "fencing number is old; read the state first", "not-run");
            return;
        }
        state.fence = state.fence.max(fence);
        let activates = order["order"] == "activate" && state.prepared.as_ref() == Some(&release);
        match self.flaw(&release).filter(|_| activates) {
            Some(ActivationFault::Refused) => {
                state.prepared = None;
                drop(state);
                refuse(request, 409, "the release does not fit this engine", "not-run");
                return;
            }
            Some(ActivationFault::Crash) => {
                drop(state);
                self.crash();
                request.abort();
                return;
            }
            Some(ActivationFault::CrashAfter(wait)) => {
                drop(state);
                self.crash_later(wait);
                state = self.lock();
            }
            None => {}
        }
        let accepted = self.apply(&mut state, &order, release);
        drop(state);
        if accepted {
            respond_json(request, &json!({ "accepted": true }));
        } else {
            refuse(request, 409, "the release is not prepared", "not-run");
        }
    }

    fn apply(&self, state: &mut State, order: &Value, release: String) -> bool {
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

    fn stage(&self, mut request: Request, path: &str) {
        let name = path.strip_prefix("/v1/staging/").unwrap_or_default().to_owned();
        let release = header(&request, proto::header::RELEASE).unwrap_or_default().to_owned();
        let body = read_body(&mut request, BODY).unwrap_or_default();
        let good = Digest::of(&body).to_string() == name;
        let mut state = self.lock();
        let wanted = state.prepared.as_deref() == Some(&release) && state.needed.contains(&name);
        if !good || !wanted {
            drop(state);
            refuse(request, 409, "the chunk is not part of the prepared release", "not-run");
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
