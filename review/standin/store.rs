//! The platform's store. Each process has an address of its own, so that it can be turned away alone.

use std::{
    collections::BTreeMap,
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    time::{Duration, Instant},
};

use crate::http::{Message, hold_if_silent, response, serve};

/// Time that an answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Interval at which a watch that waits checks whether its machine is turned away.
const WATCH_STEP: Duration = Duration::from_millis(50);

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// Revision, key and value of each change.
    changes: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<Contents>, Condvar)>);

/// Whether the store turns a machine away.
pub type Gate = Arc<AtomicBool>;

impl Store {
    /// Writes or deletes a key, as the operator and the runners do.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let (contents, changed) = &*self.0;
        let mut contents = contents.lock().unwrap();
        contents.revision += 1;
        let revision = contents.revision;
        match value {
            Some(value) => contents.items.insert(key.to_owned(), (revision, value.to_owned())),
            None => contents.items.remove(key),
        };
        contents.changes.push((revision, key.to_owned(), value.map(str::to_owned)));
        changed.notify_all();
    }

    /// Starts an address for one machine.
    pub fn listen(&self, ip: Ipv4Addr) -> io::Result<(SocketAddr, Gate)> {
        let gate = Gate::default();
        let (store, closed) = (self.clone(), gate.clone());
        let handler = Arc::new(move |request: &Message, mut stream: &TcpStream| {
            std::thread::sleep(ANSWER_TIME);
            let body = match closed.load(SeqCst) {
                true => None,
                false => store.answer(request, &closed),
            };
            hold_if_silent();
            let headers = "content-type: application/json\r\nstore-era: 0\r\n";
            stream.write_all(&match body {
                Some(body) => response("200 OK", headers, body.as_bytes()),
                None => response("503 Service Unavailable", headers, b""),
            })
        });
        Ok((serve((ip, 0).into(), handler)?, gate))
    }

    fn answer(&self, request: &Message, closed: &Gate) -> Option<String> {
        let prefix = request.query("path_prefix").unwrap_or("");
        match request.path() {
            "/v1/kv-range" => Some(self.range(prefix)),
            "/v1/kv-watch" => {
                let number = |name| request.query(name).and_then(|n| n.parse().ok()).unwrap_or(0);
                let wait = Duration::from_millis(number("wait_ms"));
                self.watch(prefix, number("after_revision"), wait, closed)
            }
            _ => None,
        }
    }

    fn range(&self, prefix: &str) -> String {
        let contents = self.0.0.lock().unwrap();
        let listed = contents.items.iter().filter(|(key, _)| key.starts_with(prefix));
        let items = listed.map(|(key, (revision, value))| item(key, *revision, value));
        let items: Vec<String> = items.collect();
        let (items, at) = (items.join(","), contents.revision);
        format!(r#"{{"items":[{items}],"truncated":false,"at":{at}}}"#)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration, closed: &Gate) -> Option<String> {
        let until = Instant::now() + wait;
        let (contents, changed) = &*self.0;
        let mut contents = contents.lock().unwrap();
        while contents.revision <= after && Instant::now() < until {
            contents = changed.wait_timeout(contents, WATCH_STEP).unwrap().0;
            if closed.load(SeqCst) {
                return None;
            }
        }
        let newer = contents
            .changes
            .iter()
            .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
        let events = newer.map(|(revision, key, value)| match value {
            Some(value) => item(key, *revision, value),
            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
        });
        let events: Vec<String> = events.collect();
        let (events, at) = (events.join(","), contents.revision);
        Some(format!(r#"{{"events":[{events}],"at":{at}}}"#))
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!(
        r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":{revision},"lease":0}}"#
    )
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for at in 0..4 {
            let is_padding = at > group.len();
            let index = (bits >> (18 - 6 * at) & 63) as usize;
            text.push(if is_padding { '=' } else { ALPHABET[index] as char });
        }
    }
    text
}
