//! Weights, their digests, and the origin that hands them out.

use std::{
    io::{self, Write},
    net::{Ipv4Addr, SocketAddr, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering::SeqCst},
    },
};

use crate::{
    http::{Message, response, serve},
    record::Record,
};

pub const MODEL: &str = "daka510000";
pub const LAYERS: u32 = 16;
pub const PIECES: usize = 96;
pub const PIECE_BYTES: usize = 24_576;

/// The bytes of a piece, which differ by version and piece.
pub fn piece(version: u64, number: usize) -> Vec<u8> {
    let mut state = version.wrapping_mul(1_000_003).wrapping_add(number as u64 + 1);
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..PIECE_BYTES).map(|_| next()).collect()
}

/// SHA-256.
pub fn digest(data: &[u8]) -> [u8; 32] {
    const K: [u32; 64] = [
        0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1, 0x923f82a4,
        0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3, 0x72be5d74, 0x80deb1fe,
        0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786, 0x0fc19dc6, 0x240ca1cc, 0x2de92c6f,
        0x4a7484aa, 0x5cb0a9dc, 0x76f988da, 0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7,
        0xc6e00bf3, 0xd5a79147, 0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc,
        0x53380d13, 0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
        0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070, 0x19a4c116,
        0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a, 0x5b9cca4f, 0x682e6ff3,
        0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208, 0x90befffa, 0xa4506ceb, 0xbef9a3f7,
        0xc67178f2,
    ];
    let mut hash: [u32; 8] = [
        0x6a09e667, 0xbb67ae85, 0x3c6ef372, 0xa54ff53a, 0x510e527f, 0x9b05688c, 0x1f83d9ab,
        0x5be0cd19,
    ];
    let mut data = data.to_vec();
    let bits = data.len() as u64 * 8;
    data.push(0x80);
    while data.len() % 64 != 56 {
        data.push(0);
    }
    data.extend_from_slice(&bits.to_be_bytes());
    for block in data.chunks_exact(64) {
        let mut w = [0u32; 64];
        for (word, bytes) in w.iter_mut().zip(block.chunks_exact(4)) {
            *word = u32::from_be_bytes(bytes.try_into().unwrap());
        }
        for i in 16..64 {
            let s0 = w[i - 15].rotate_right(7) ^ w[i - 15].rotate_right(18) ^ w[i - 15] >> 3;
            let s1 = w[i - 2].rotate_right(17) ^ w[i - 2].rotate_right(19) ^ w[i - 2] >> 10;
            w[i] = w[i - 16].wrapping_add(s0).wrapping_add(w[i - 7]).wrapping_add(s1);
        }
        let [mut a, mut b, mut c, mut d, mut e, mut f, mut g, mut h] = hash;
        for i in 0..64 {
            let s1 = e.rotate_right(6) ^ e.rotate_right(11) ^ e.rotate_right(25);
            let choice = (e & f) ^ (!e & g);
            let t1 = h.wrapping_add(s1).wrapping_add(choice).wrapping_add(K[i]).wrapping_add(w[i]);
            let s0 = a.rotate_right(2) ^ a.rotate_right(13) ^ a.rotate_right(22);
            let t2 = s0.wrapping_add((a & b) ^ (a & c) ^ (b & c));
            (h, g, f, e) = (g, f, e, d.wrapping_add(t1));
            (d, c, b, a) = (c, b, a, t1.wrapping_add(t2));
        }
        for (sum, part) in hash.iter_mut().zip([a, b, c, d, e, f, g, h]) {
            *sum = sum.wrapping_add(part);
        }
    }
    let mut out = [0; 32];
    for (bytes, word) in out.chunks_exact_mut(4).zip(hash) {
        bytes.copy_from_slice(&word.to_be_bytes());
    }
    out
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The manifest of a version.
fn manifest(version: u64) -> String {
    let digests: Vec<String> =
        (0..PIECES).map(|n| format!("\"{}\"", hex(&digest(&piece(version, n))))).collect();
    format!(
        r#"{{"model":"{MODEL}","version":{version},"chunk_bytes":{PIECE_BYTES},"layers":{LAYERS},"digests":[{}]}}"#,
        digests.join(",")
    )
}

/// The origin of the weights.
pub struct Origin {
    pub addr: SocketAddr,
    /// Whether one character of the next manifest is wrong.
    pub corrupts_next: Arc<AtomicBool>,
    /// Number of answers.
    pub answers: Arc<AtomicU64>,
}

impl Origin {
    pub fn start(ip: Ipv4Addr, record: &Record) -> io::Result<Origin> {
        let corrupts_next = Arc::new(AtomicBool::default());
        let answers = Arc::new(AtomicU64::default());
        let (corrupts, count, record) = (corrupts_next.clone(), answers.clone(), record.clone());
        let handler = Arc::new(move |request: &Message, mut stream: &TcpStream| {
            let number = |name| request.query(name).and_then(|n| n.parse::<u64>().ok());
            let version = number("version").unwrap_or(1);
            count.fetch_add(1, SeqCst);
            if request.path().starts_with("/v1/manifest/") {
                let mut body = manifest(version);
                let is_corrupt = corrupts.swap(false, SeqCst);
                if is_corrupt {
                    corrupt(&mut body);
                }
                let word = if is_corrupt { "one character is wrong" } else { "sound" };
                record.line(format!("manifest version={version} {word}"));
                let headers = "content-type: application/json\r\n";
                return stream.write_all(&response("200 OK", headers, body.as_bytes()));
            }
            let body = piece(version, number("quantity").unwrap_or(0) as usize);
            stream.write_all(&response("200 OK", "", &body))
        });
        let addr = serve((ip, 0).into(), handler)?;
        Ok(Origin { addr, corrupts_next, answers })
    }

    /// The entry of the origin in the configuration.
    pub fn service(&self) -> String {
        format!(
            r#"{{"name":"origin","origin":"{}","zone":"north","link_mbps":7.3,"max_connections":48}}"#,
            self.addr
        )
    }
}

/// Replaces one digit of one digest by another digit.
fn corrupt(manifest: &mut String) {
    let at = manifest.len() / 2;
    let offset = manifest[at..].find(|c: char| c.is_ascii_hexdigit()).unwrap_or(0);
    let digit = if manifest[at + offset..].starts_with('0') { "1" } else { "0" };
    manifest.replace_range(at + offset..=at + offset, digit);
}
