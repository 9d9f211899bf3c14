//! What handlers of requests share.

use std::{
    io::{ErrorKind, Read},
    time::{Duration, Instant},
};

use base::ByteSize;
use settings::PeerKey;
use subtle::ConstantTimeEq;

use crate::{Request, Response};

/// Longest time that a whole body takes, so that one that trickles in holds no thread for long.
const BODY_TIME: Duration = Duration::from_secs(60);
/// Bytes of a body that are read at once.
const PIECE_BYTES: usize = 16 << 10;

/// The value of a request's header, if it is text.
pub fn header<'a>(request: &'a Request, name: &str) -> Option<&'a str> {
    request.headers().get(name).and_then(|value| value.to_str().ok())
}

/// Whether the request carries the peer key.
pub fn is_authorized(request: &Request, key: &PeerKey) -> bool {
    let given = header(request, proto::header::AUTHORIZATION).unwrap_or_default();
    let given = given.strip_prefix("Bearer ").unwrap_or_default();
    given.as_bytes().ct_eq(key.as_bytes()).into()
}

/// Reads a request's body; `None` if it is larger than `limit`, cut, or not there in time.
pub fn read_body(request: &mut Request, limit: ByteSize) -> Option<Vec<u8>> {
    if request.body_length().is_some_and(|length| length > limit.0) {
        return None;
    }
    let until = Instant::now() + BODY_TIME;
    let mut body = Vec::new();
    let mut piece = vec![0; PIECE_BYTES];
    loop {
        match request.read(&mut piece) {
            Ok(0) => return Some(body),
            Ok(n) => body.extend_from_slice(&piece[..n]),
            Err(err) if err.kind() == ErrorKind::Interrupted => {}
            Err(_) => return None,
        }
        if body.len() as u64 > limit.0 || Instant::now() >= until {
            return None;
        }
    }
}

/// Answers a request with an error in JSON.
pub fn respond_with_error(request: Request, status: u16, message: &str, outcome: &'static str) {
    let body = serde_json::json!({ "error": { "message": message, "outcome": outcome } });
    let response = Response::from_string(body.to_string())
        .with_status_code(status)
        .with_header("content-type", "application/json")
        .with_header(proto::header::OUTCOME, outcome);
    let later = status == 503 || status == 429;
    request.respond(if later { response.with_header("retry-after", "1") } else { response });
}

/// The value of `name` in a request's query.
pub fn query_param<'a>(url: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = url.split_once('?')?;
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
}
