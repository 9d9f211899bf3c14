//! Callers that send at a rate of their own.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use fastrand::Rng;
use testbed::Caller;

use super::counts::{Counts, Kind, Sample};

/// Stack of a caller's thread.
const STACK_BYTES: usize = 256 << 10;

/// Where requests go and how they look.
pub struct Target {
    pub entries: Vec<SocketAddr>,
    pub tokens: usize,
    pub deadline: Duration,
    pub skew: f64,
    pub orders: f64,
    pub workspaces: usize,
}

impl Target {
    /// A caller of a workspace.
    pub fn caller(&self, workspace: usize) -> Caller {
        Caller::new(&key(workspace)).with_deadline(self.deadline)
    }

    fn entry(&self, workspace: usize, rng: &mut Rng) -> SocketAddr {
        if rng.f64() < self.skew {
            return self.entries[workspace % self.entries.len()];
        }
        self.entries[rng.usize(..self.entries.len())]
    }
}

/// The key of a workspace's callers.
pub fn key(workspace: usize) -> String {
    if workspace == 0 {
        return testbed::CALLER_KEY.to_owned();
    }
    format!("caller-key-{workspace}")
}

/// The name of a workspace.
pub fn workspace_name(index: usize) -> String {
    if index == 0 { "counter".to_owned() } else { format!("workspace-{index}") }
}

/// A load of a fixed rate.
pub struct Load {
    pub target: Arc<Target>,
    /// Requests a second.
    pub rate: f64,
    pub time: Duration,
    /// Seconds at the beginning that are not judged.
    pub settle: f64,
    pub seed: u64,
}

impl Load {
    /// Sends requests until the time is up and waits for the last answer.
    pub fn run(&self) -> Counts {
        let mut rng = Rng::with_seed(self.seed);
        let counts = Arc::new(Mutex::new(Counts::new(self.target.workspaces)));
        let callers: Vec<Caller> =
            (0..self.target.workspaces).map(|w| self.target.caller(w)).collect();
        let start = Instant::now();
        let mut at = Duration::ZERO;
        let mut threads = Vec::new();
        let mut number = 0;
        while at < self.time {
            std::thread::sleep((start + at).saturating_duration_since(Instant::now()));
            let workspace = rng.usize(..self.target.workspaces);
            let kind = if rng.f64() < self.target.orders { Kind::Order } else { Kind::Chat };
            let call = Call {
                caller: callers[workspace].clone(),
                entry: self.target.entry(workspace, &mut rng),
                tokens: self.target.tokens,
                workspace,
                kind,
                text: format!("request {number} of run {}", self.seed),
                sent: at.as_secs_f64() >= self.settle,
                window: (start + Duration::from_secs_f64(self.settle), start + self.time),
            };
            let counts = counts.clone();
            let thread = std::thread::Builder::new().stack_size(STACK_BYTES);
            if let Ok(thread) = thread.spawn(move || call.make(&counts)) {
                threads.push(thread);
            }
            number += 1;
            at += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / self.rate);
        }
        threads.into_iter().for_each(|thread| thread.join().expect("callers do not panic"));
        std::mem::take(&mut *counts.lock().expect("no holder panics"))
    }
}

struct Call {
    caller: Caller,
    entry: SocketAddr,
    tokens: usize,
    workspace: usize,
    kind: Kind,
    text: String,
    /// Whether it was sent after the settling time.
    sent: bool,
    /// Answers within count as goodput.
    window: (Instant, Instant),
}

impl Call {
    fn make(self, counts: &Mutex<Counts>) {
        let start = Instant::now();
        let answer = match self.kind {
            Kind::Chat => self.caller.chat(self.entry, &self.text, self.tokens),
            Kind::Order => self.caller.post_order(self.entry, None, &self.text),
        };
        let now = Instant::now();
        let sample = Sample {
            workspace: self.workspace,
            kind: self.kind,
            text: self.text,
            sent: self.sent,
            good: self.window.0 <= now && now <= self.window.1,
            took: start.elapsed(),
            answer,
        };
        counts.lock().expect("no holder panics").add(sample);
    }
}
