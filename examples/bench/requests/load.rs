//! Open-loop load generator: requests are sent at a fixed rate, independent of the responses.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fastrand::Rng;
use testbed::Caller;

use super::counts::{Counts, Kind, Sample};

/// Stack size of a caller's thread in bytes.
const STACK_BYTES: usize = 256 << 10;

/// Destination and parameters of the requests.
pub struct Target {
    /// Addresses of the entries for callers.
    pub entries: Vec<SocketAddr>,
    pub tokens: usize,
    pub deadline: Duration,
    /// Fraction of each workspace's requests that go to one entry.
    pub skew: f64,
    /// Fraction of the requests that are calls to the plain service.
    pub orders: f64,
    pub workspaces: usize,
}

impl Target {
    /// Creates a caller of a workspace.
    pub fn caller(&self, workspace: usize) -> Caller {
        Caller::new(&api_key(workspace)).with_deadline(self.deadline)
    }

    fn entry(&self, workspace: usize, rng: &mut Rng) -> SocketAddr {
        if rng.f64() < self.skew {
            return self.entries[workspace % self.entries.len()];
        }
        self.entries[rng.usize(..self.entries.len())]
    }
}

/// API key of a workspace's callers.
pub fn api_key(workspace: usize) -> String {
    if workspace == 0 {
        return testbed::CALLER_KEY.to_owned();
    }
    format!("caller-key-{workspace}")
}

/// Id of a workspace.
pub fn workspace_name(index: usize) -> String {
    if index == 0 { "counter".to_owned() } else { format!("workspace-{index}") }
}

/// Sends requests at a fixed mean rate with exponentially distributed gaps.
pub struct LoadGenerator {
    pub target: Arc<Target>,
    /// Requests per second.
    pub rate: f64,
    pub time: Duration,
    /// Seconds at the start that are not measured.
    pub warmup: f64,
    pub seed: u64,
}

impl LoadGenerator {
    /// Sends requests for `time` and waits for the last response.
    pub fn run(&self) -> Counts {
        let mut rng = Rng::with_seed(self.seed);
        let counts = Arc::new(Mutex::new(Counts::new(self.target.workspaces)));
        let callers: Vec<Caller> =
            (0..self.target.workspaces).map(|w| self.target.caller(w)).collect();
        let start = Instant::now();
        let mut send_offset = Duration::ZERO;
        let mut threads = Vec::new();
        let mut request_index = 0;
        while send_offset < self.time {
            std::thread::sleep((start + send_offset).saturating_duration_since(Instant::now()));
            let workspace = rng.usize(..self.target.workspaces);
            let kind = if rng.f64() < self.target.orders { Kind::Order } else { Kind::Chat };
            let request = ScheduledRequest {
                caller: callers[workspace].clone(),
                entry: self.target.entry(workspace, &mut rng),
                tokens: self.target.tokens,
                workspace,
                kind,
                text: format!("request {request_index} of run {}", self.seed),
                sent_in_window: send_offset.as_secs_f64() >= self.warmup,
                window: (start + Duration::from_secs_f64(self.warmup), start + self.time),
            };
            let counts = counts.clone();
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            if let Ok(thread) = thread.spawn(move || request.send(&counts)) {
                threads.push(thread);
            }
            request_index += 1;
            send_offset += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate);
        }
        threads.into_iter().for_each(|thread| thread.join().expect("callers do not panic"));
        std::mem::take(&mut *counts.lock().expect("no holder panics"))
    }
}

struct ScheduledRequest {
    caller: Caller,
    entry: SocketAddr,
    tokens: usize,
    workspace: usize,
    kind: Kind,
    text: String,
    /// Whether it was sent after the warm-up.
    sent_in_window: bool,
    /// Responses within this time window count as goodput.
    window: (Instant, Instant),
}

impl ScheduledRequest {
    fn send(self, counts: &Mutex<Counts>) {
        let start = Instant::now();
        let response = match self.kind {
            Kind::Chat => self.caller.chat(self.entry, &self.text, self.tokens),
            Kind::Order => self.caller.post_order(self.entry, None, &self.text),
        };
        let now = Instant::now();
        let sample = Sample {
            workspace: self.workspace,
            kind: self.kind,
            text: self.text,
            sent_in_window: self.sent_in_window,
            in_window: self.window.0 <= now && now <= self.window.1,
            latency: start.elapsed(),
            response,
        };
        counts.lock().expect("no holder panics").add(sample);
    }
}
