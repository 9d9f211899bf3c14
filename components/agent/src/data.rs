//! The data address: chunks for peers and attempts from entries.

use base::{ByteSize, Digest};
use net::{authorized, refuse};
use settings::PeerKey;
use tiny_http::{Method, Request, Response};

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
        (Method::Get, None) if url == "/healthz" => text(request, "ok\n"),
        (Method::Get, None) if url == "/metrics" => text(request, &telemetry::install().render()),
        (Method::Post, None) if url == "/v1/attempts" => attempt::handle(shared, request),
        _ => refuse(request, 404, "no such path; update the peer", "not-run"),
    }
}

fn text(request: Request, text: &str) {
    // The sender may be gone.
    let _ = request.respond(Response::from_string(text));
}

fn blob(shared: &Shared, digest: &str, request: Request) {
    let digest = digest.parse::<Digest>().ok();
    let Some(chunk) = digest.and_then(|digest| shared.held(&digest)) else {
        refuse(request, 404, "the chunk is not held; ask another", "run");
        return;
    };
    shared.pace(ByteSize(chunk.len() as u64));
    let length = chunk.len();
    let body = std::io::Cursor::new(chunk);
    let response = Response::new(200.into(), Vec::new(), body, Some(length), None);
    // The peer may be gone.
    let _ = request.respond(response);
}
