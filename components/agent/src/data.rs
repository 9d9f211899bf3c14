//! The data address: chunks for peers and attempts from entries.

use base::{ByteSize, Digest};
use net::{authorized, refuse};
use settings::PeerKey;
use tiny_http::{Header, Method, Request, Response};

use crate::{attempt, core::Shared};

/// Handles a request on the data address.
pub(crate) fn handle(shared: &Shared, key: &PeerKey, request: Request) {
    if !authorized(&request, key) {
        refuse(request, 401, "the peer key is missing or wrong; use the fleet's", "not-run");
        return;
    }
    let url = request.url().to_owned();
    match (request.method(), url.strip_prefix("/v1/blobs/")) {
        (Method::Get, Some(digest)) => blob(shared, digest, request),
        (Method::Post, None) if url == "/v1/attempts" => attempt::handle(shared, request),
        _ => refuse(request, 404, "no such path; update the peer", "not-run"),
    }
}

/// Seconds after which a peer may ask a crowded link again.
const RETRY_AFTER: &str = "0.2";

fn respond_busy(request: Request) {
    let mut response = Response::from_string("the link is crowded; ask another");
    if let Ok(header) = Header::from_bytes("retry-after", RETRY_AFTER) {
        response.add_header(header);
    }
    // The peer may be gone.
    let _ = request.respond(response.with_status_code(503));
}

fn blob(shared: &Shared, digest: &str, request: Request) {
    let digest = digest.parse::<Digest>().ok();
    let Some(chunk) = digest.and_then(|digest| shared.held(&digest)) else {
        refuse(request, 404, "the chunk is not held; ask another", "run");
        return;
    };
    if shared.is_crowded(ByteSize(chunk.len() as u64)) {
        respond_busy(request);
        return;
    }
    shared.pace(ByteSize(chunk.len() as u64));
    let length = chunk.len();
    let body = std::io::Cursor::new(chunk);
    let response = Response::new(200.into(), Vec::new(), body, Some(length), None);
    // The peer may be gone.
    let _ = request.respond(response);
}
