//! The platform's store as the pages describe it: a range read, a watch, and one revision counter.

use std::{
    collections::BTreeMap,
    io::Write,
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

use crate::http::{Message, Server, response};

#[derive(Clone)]
struct Event {
    revision: u64,
    key: String,
    /// `None` if the key was deleted.
    value: Option<String>,
}

#[derive(Default)]
struct Contents {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    events: Vec<Event>,
}

/// The store. Clones share it.
#[derive(Clone, Default)]
pub struct Store {
    contents: Arc<Mutex<Contents>>,
    changed: Arc<Condvar>,
}

/// The way of machines to the store.
pub struct StorePath {
    pub addr: SocketAddr,
    _server: Server,
}

impl Store {
    /// Writes a value, or deletes the key. On return the change is acknowledged.
    pub fn put(&self, key: &str, value: Option<&str>) {
        let mut contents = self.contents.lock().unwrap();
        contents.revision += 1;
        let (revision, value) = (contents.revision, value.map(base64));
        match &value {
            Some(value) => drop(contents.items.insert(key.to_owned(), (revision, value.clone()))),
            None => drop(contents.items.remove(key)),
        }
        contents.events.push(Event { revision, key: key.to_owned(), value });
        self.changed.notify_all();
    }

    /// Opens a way to the store.
    pub fn open_path(&self, addr: SocketAddr) -> StorePath {
        let store = self.clone();
        let server = Server::start(addr, move |request, stream| {
            stream.write_all(&store.respond(request)).is_ok()
        });
        StorePath { addr: server.addr, _server: server }
    }

    fn respond(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let field = |name: &str| {
            let mut fields = query.split('&').filter_map(|field| field.split_once('='));
            fields.find(|(n, _)| *n == name).map(|(_, value)| decode(value))
        };
        let prefix = field("path_prefix").unwrap_or_default();
        match path {
            "/v1/kv-range" => {
                let contents = self.contents.lock().unwrap();
                let items = contents.items.iter().filter(|(key, _)| key.starts_with(&prefix));
                let items: Vec<String> = items
                    .map(|(key, (revision, value))| {
                        format!(
                            r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#
                        )
                    })
                    .collect();
                let at = contents.revision;
                let body = format!(r#"{{"items":[{}],"truncated":false,"at":{at}}}"#, items.join(","));
                json(&body)
            }
            "/v1/kv-watch" => {
                let number = |name| field(name).and_then(|text| text.parse().ok()).unwrap_or(0);
                let (after, wait): (u64, u64) = (number("after_revision"), number("wait_ms"));
                json(&self.watch(&prefix, after, Duration::from_millis(wait)))
            }
            _ => response("404 Not Found", "", b""),
        }
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> String {
        let end = Instant::now() + wait;
        let mut contents = self.contents.lock().unwrap();
        loop {
            let events = contents.events.iter();
            let new = events.filter(|event| event.revision > after && event.key.starts_with(prefix));
            let new: Vec<String> = new.map(Event::encode).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!(r#"{{"events":[{}],"at":{}}}"#, new.join(","), contents.revision);
            }
            contents = self.changed.wait_timeout(contents, left).unwrap().0;
        }
    }
}

impl Event {
    fn encode(&self) -> String {
        let Event { revision, key, value } = self;
        match value {
            Some(value) => format!(
                r#"{{"key":"{key}","value":"{value}","revision":{revision},"created":1,"lease":0}}"#
            ),
            None => format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#),
        }
    }
}

fn json(body: &str) -> Vec<u8> {
    response("200 OK", "Content-Type: application/json\r\n", body.as_bytes())
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        let hex = |b: Option<u8>| (b.unwrap_or(b'0') as char).to_digit(16).unwrap_or(0) as u8;
        match byte {
            b'%' => out.push(hex(bytes.next()) << 4 | hex(bytes.next())),
            other => out.push(other),
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(text: &str) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let byte = |n: usize| u32::from(*chunk.get(n).unwrap_or(&0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for n in 0..4 {
            match n <= chunk.len() {
                true => out.push(DIGITS[(bits >> (18 - 6 * n) & 63) as usize] as char),
                false => out.push('='),
            }
        }
    }
    out
}
