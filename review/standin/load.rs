//! Clients that send a request each on a connection of its own at a steady rate, and do not send it again.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Message, Outcome, send},
    process::wait_until,
    record::Record,
};

/// Time after which a client leaves.
const PATIENCE: Duration = Duration::from_secs(6);

/// What a client has seen of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Seen {
    NotConnected,
    /// The connection ended before a complete answer.
    Cut,
    Status(u16),
}

/// A request of a client.
#[derive(Debug, Clone)]
pub struct Attempt {
    pub id: String,
    pub gateway: usize,
    pub sent_ms: u64,
    pub ended_ms: u64,
    pub seen: Seen,
    /// The runner whose answer said that it leaves.
    pub leaving: Option<String>,
}

/// Chooses the gateway of a client, by its number.
pub type Choose = Arc<dyn Fn(u64) -> (usize, SocketAddr) + Send + Sync>;

#[derive(Clone)]
pub struct Load {
    is_running: Arc<AtomicBool>,
    open: Arc<AtomicU64>,
    attempts: Arc<Mutex<Vec<Attempt>>>,
    record: Record,
}

impl Load {
    pub fn start(
        interval: Duration,
        choose: Choose,
        request: fn(&str) -> Vec<u8>,
        record: &Record,
    ) -> Load {
        let load = Load {
            is_running: Arc::new(AtomicBool::new(true)),
            open: Arc::default(),
            attempts: Arc::default(),
            record: record.clone(),
        };
        let started = load.clone();
        thread::spawn(move || {
            let mut number = 0;
            let mut next = Instant::now();
            while load.is_running.load(SeqCst) {
                next += interval;
                thread::sleep(next.saturating_duration_since(Instant::now()));
                number += 1;
                let (gateway, addr) = choose(number);
                let load = load.clone();
                load.open.fetch_add(1, SeqCst);
                thread::spawn(move || {
                    load.send(format!("{number:016x}"), gateway, addr, request);
                    load.open.fetch_sub(1, SeqCst);
                });
            }
        });
        started
    }

    fn send(&self, id: String, gateway: usize, addr: SocketAddr, request: fn(&str) -> Vec<u8>) {
        let sent_ms = self.record.now();
        self.record.line(format!("sent     id={id} to=frontend-{gateway}"));
        let outcome = send(addr, &request(&id), PATIENCE);
        let (seen, leaving) = match &outcome {
            Outcome::NotConnected => (Seen::NotConnected, None),
            Outcome::Answer(answer) if answer.is_complete => {
                (Seen::Status(answer.status()), leaving_runner(answer))
            }
            Outcome::NoAnswer | Outcome::Answer(_) => (Seen::Cut, None),
        };
        let note = leaving.as_ref().map(|runner| format!(" leaving={runner}")).unwrap_or_default();
        self.record.line(format!("answer   id={id} from=frontend-{gateway} {seen:?}{note}"));
        let ended_ms = self.record.now();
        let attempt = Attempt { id, gateway, sent_ms, ended_ms, seen, leaving };
        self.attempts.lock().unwrap().push(attempt);
    }

    /// Sends no more requests, waits for the answers and returns all attempts.
    pub fn stop(&self) -> Vec<Attempt> {
        self.is_running.store(false, SeqCst);
        wait_until(PATIENCE + Duration::from_secs(1), || self.open.load(SeqCst) == 0);
        self.attempts.lock().unwrap().clone()
    }
}

/// The runner that signed an answer in which it says that it leaves.
fn leaving_runner(answer: &Message) -> Option<String> {
    answer.header("server-leaving")?;
    let stamp = answer.header("x-server-stamp")?;
    Some(stamp.split('.').next().unwrap_or("").to_owned())
}
