//! Weights: the origin, and what a model runner has staged and loaded.

use std::{
    collections::BTreeMap,
    io::Write,
    net::{SocketAddr, TcpStream},
    sync::Mutex,
    time::{Duration, Instant},
};

use crate::http::{Message, Server, response};

/// Number of pieces of each version.
pub const PIECES: u32 = 4;
/// Size of a piece in bytes.
pub const PIECE_BYTES: usize = 1024;
const MODEL: &str = "m1";
/// Time that a load takes.
const LOAD_TIME: Duration = Duration::from_millis(300);
const JSON: &str = "Content-Type: application/json\r\n";

/// The content of a piece.
pub fn piece(version: u64, number: u32) -> Vec<u8> {
    let line = format!("{MODEL} version {version} piece {number}\n");
    line.bytes().cycle().take(PIECE_BYTES).collect()
}

/// Starts the origin.
pub fn start_origin(addr: SocketAddr) -> Server {
    Server::start(addr, |request: &Message, stream: &mut TcpStream| {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let version = field(query, "version").unwrap_or(1);
        let bytes = match path.split('/').nth(2) {
            Some("manifest") => {
                let digests: Vec<String> =
                    (0..PIECES).map(|n| format!("\"{}\"", hex_digest(&piece(version, n)))).collect();
                let body = format!(
                    r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":16,"digests":[{}]}}"#,
                    digests.join(",")
                );
                response("200 OK", JSON, body.as_bytes())
            }
            Some("piece") => {
                let number = field(query, "quantity").unwrap_or(0) as u32;
                response("200 OK", "", &piece(version, number))
            }
            _ => response("404 Not Found", "", b""),
        };
        stream.write_all(&bytes).is_ok()
    })
}

fn field(query: &str, name: &str) -> Option<u64> {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    fields.into_iter().find(|(n, _)| *n == name)?.1.parse().ok()
}

/// What a runner has staged, which survives a crash, and what it has loaded, which does not.
#[derive(Default)]
pub struct Engine(Mutex<State>);

#[derive(Default)]
struct State {
    staged: BTreeMap<u32, Vec<u8>>,
    version: Option<u64>,
    loading: Option<(u64, Instant)>,
    sequence: u64,
    born: u64,
}

impl State {
    fn settle(&mut self) {
        if let Some((version, done)) = self.loading
            && Instant::now() >= done
        {
            (self.version, self.loading) = (Some(version), None);
        }
    }

    fn models(&self) -> String {
        match self.version {
            Some(version) => format!(r#"[{{"name":"{MODEL}","version":{version},"adapters":[]}}]"#),
            None => "[]".to_owned(),
        }
    }
}

impl Engine {
    /// Holds version 1, which is also staged.
    pub fn holding_first() -> Engine {
        let engine = Engine::default();
        let mut state = engine.0.lock().unwrap();
        state.staged = (0..PIECES).map(|n| (n, piece(1, n))).collect();
        state.version = Some(1);
        drop(state);
        engine
    }

    /// Starts again: what was loaded is gone, and the counts start anew.
    pub fn restart(&self, born: u64) {
        let mut state = self.0.lock().unwrap();
        let staged = std::mem::take(&mut state.staged);
        *state = State { staged, born, ..State::default() };
    }

    /// Whether it can serve requests.
    pub fn is_serving(&self) -> bool {
        let mut state = self.0.lock().unwrap();
        state.settle();
        state.version.is_some() && state.loading.is_none()
    }

    /// The fields of its entry in the store that tell what it holds.
    pub fn entry_fields(&self) -> String {
        let state = self.0.lock().unwrap();
        format!(
            r#""stage":"both","models":{},"sequence":{},"born":{}"#,
            state.models(),
            state.sequence,
            state.born
        )
    }

    /// Responds to its stager; `None` if the request is another one.
    pub fn respond(&self, request: &Message) -> Option<Vec<u8>> {
        let mut state = self.0.lock().unwrap();
        state.settle();
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let number = field(query, "quantity").map(|number| number as u32);
        let bytes = match (path.split('/').nth(2)?, number) {
            ("report", _) => {
                let body = format!(
                    r#"{{"stage":"both","models":{},"busy":{},"sequence":{},"waiting":0,"running":1,"kv_cache_used":1000,"kv_cache_total":317000,"handles":0,"born":{}}}"#,
                    state.models(),
                    state.loading.is_some(),
                    state.sequence,
                    state.born
                );
                response("200 OK", JSON, body.as_bytes())
            }
            ("stage-get", Some(number)) => match state.staged.get(&number) {
                Some(piece) => response("200 OK", "", piece),
                None => response("404 Not Found", "", b""),
            },
            ("stage-get", None) => {
                let held: Vec<String> = state.staged.keys().map(u32::to_string).collect();
                let body = format!(r#"{{"held":[{}]}}"#, held.join(","));
                response("200 OK", JSON, body.as_bytes())
            }
            ("stage-put", Some(number)) => {
                state.staged.insert(number, request.body.clone());
                response("200 OK", "", b"")
            }
            ("order", _) => state.accept(&String::from_utf8_lossy(&request.body)),
            _ => return None,
        };
        Some(bytes)
    }
}

impl State {
    fn accept(&mut self, order: &str) -> Vec<u8> {
        let number = |name: &str| -> Option<u64> {
            let text = order.split(&format!("\"{name}\":")).nth(1)?;
            text.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
        };
        let version = number("version").unwrap_or(0);
        if number("precondition").is_some_and(|expected| expected != self.sequence) {
            return response("409 Conflict", "", b"");
        }
        if self.version == Some(version) {
            return response("200 OK", "", b"");
        }
        if self.loading.is_some() {
            return response("409 Conflict", "", b"");
        }
        self.sequence += 1;
        self.loading = Some((version, Instant::now() + LOAD_TIME));
        response("202 Accepted", "", b"")
    }
}

fn hex_digest(bytes: &[u8]) -> String {
    sha256(bytes).iter().map(|word| format!("{word:08x}")).collect()
}

/// SHA-256. The constants are the fractional parts of the square and cube roots of the first primes.
fn sha256(bytes: &[u8]) -> [u32; 8] {
    let mut primes: Vec<u64> = Vec::new();
    let mut candidate = 2;
    while primes.len() < 64 {
        if primes.iter().all(|prime| candidate % prime != 0) {
            primes.push(candidate);
        }
        candidate += 1;
    }
    let mut hash: [u32; 8] = std::array::from_fn(|n| root_fraction(primes[n], 2));
    let rounds: [u32; 64] = std::array::from_fn(|n| root_fraction(primes[n], 3));
    let mut message = bytes.to_vec();
    message.push(0x80);
    while message.len() % 64 != 56 {
        message.push(0);
    }
    message.extend_from_slice(&(bytes.len() as u64 * 8).to_be_bytes());
    for block in message.chunks(64) {
        let mut words = [0u32; 64];
        for (word, chunk) in words.iter_mut().zip(block.chunks(4)) {
            *word = u32::from_be_bytes([chunk[0], chunk[1], chunk[2], chunk[3]]);
        }
        for n in 16..64 {
            let (a, b) = (words[n - 15], words[n - 2]);
            let s0 = a.rotate_right(7) ^ a.rotate_right(18) ^ a >> 3;
            let s1 = b.rotate_right(17) ^ b.rotate_right(19) ^ b >> 10;
            words[n] =
                words[n - 16].wrapping_add(s0).wrapping_add(words[n - 7]).wrapping_add(s1);
        }
        let mut v = hash;
        for n in 0..64 {
            let s1 = v[4].rotate_right(6) ^ v[4].rotate_right(11) ^ v[4].rotate_right(25);
            let choice = v[4] & v[5] ^ !v[4] & v[6];
            let first = v[7]
                .wrapping_add(s1)
                .wrapping_add(choice)
                .wrapping_add(rounds[n])
                .wrapping_add(words[n]);
            let s0 = v[0].rotate_right(2) ^ v[0].rotate_right(13) ^ v[0].rotate_right(22);
            let majority = v[0] & v[1] ^ v[0] & v[2] ^ v[1] & v[2];
            let second = s0.wrapping_add(majority);
            v = [
                first.wrapping_add(second),
                v[0],
                v[1],
                v[2],
                v[3].wrapping_add(first),
                v[4],
                v[5],
                v[6],
            ];
        }
        for (word, add) in hash.iter_mut().zip(v) {
            *word = word.wrapping_add(add);
        }
    }
    hash
}

/// The first 32 bits of the fractional part of a prime's root of a degree.
fn root_fraction(prime: u64, degree: u32) -> u32 {
    // The largest number whose power is at most the prime, scaled by 2 to the 32nd.
    let (mut low, mut high) = (0u128, 1 << 40);
    while high - low > 1 {
        let middle = (low + high) / 2;
        let is_small = match degree {
            2 => middle * middle <= u128::from(prime) << 64,
            _ => middle * middle * middle <= u128::from(prime) << 96,
        };
        if is_small { low = middle } else { high = middle }
    }
    low as u32
}
