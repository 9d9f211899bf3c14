//! Helpers for request handlers.

use std::{
    io::{ErrorKind, Read},
    time::{Duration, Instant},
};

use base::ByteSize;
use settings::PeerKey;
use subtle::ConstantTimeEq;

use crate::{Request, Response};

/// Maximum time to receive a complete body, so that a slow sender cannot occupy a thread for long.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);
/// Size of the buffer for reading a body, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// Returns the value of a request header if it is present and text.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Whether the request is authorized with the peer key. Compares in constant time.
pub fn is_authorized(request: &Request, key: &PeerKey) -> bool {
    let given = header(request, proto::header::AUTHORIZATION).unwrap_or_default();
    let given = given.strip_prefix("Bearer ").unwrap_or_default();
    given.as_bytes().ct_eq(key.as_bytes()).into()
}

/// Reads a request's body. Returns `None` if it exceeds `limit`, is truncated or does not arrive in
/// time.
pub fn read_body(request: &mut Request, limit: ByteSize) -> Option<Vec<u8>> {
    if request.body_length().is_some_and(|length| length > limit.0) {
        return None;
    }
    let until = Instant::now() + BODY_TIMEOUT;
    let mut body = Vec::new();
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        match request.read(&mut buffer) {
            Ok(0) => return Some(body),
            Ok(n) => body.extend_from_slice(&buffer[..n]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
        if body.len() as u64 > limit.0 || Instant::now() >= until {
            return None;
        }
    }
}

/// Responds with a JSON error.
pub fn respond_with_error(request: Request, status: u16, message: &str, outcome: &'static str) {
    let body = serde_json::json!({ "error": { "message": message, "outcome": outcome } });
    let response = Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header("content-type", "application/json")
        .with_header(proto::header::OUTCOME, outcome);
    let is_retryable = status == 503 || status == 429;
    request.respond(if is_retryable { response.with_header("retry-after", "1") } else { response });
}

/// Returns the value of the parameter `name` in a URL's query string.
pub fn query_param<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
