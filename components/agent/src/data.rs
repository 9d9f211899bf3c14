//! HTTP server on the data address: chunks for peers and attempts from entries.

use base::{ByteSize, Digest};
use net::{Method, Request, Response, is_authorized, respond_with_error};
use settings::PeerKey;

use crate::{attempt, core::Shared};

/// Handles a request on the data address.
pub(crate) fn handle(shared: &Shared, key: &PeerKey, request: Request) {
    if !is_authorized(&request, key) {
        respond_with_error(
            request,
            401,
            "the peer key is missing or wrong; use the fleet's",
            "not-run",
        );
        return;
    }
    let url = request.url().to_owned();
    match (request.method(), url.strip_prefix("/v1/blobs/")) {
        (&Method::GET, Some(digest)) => blob(shared, digest, request),
        (&Method::GET, None) if url == "/healthz" => text(request, "ok\n"),
        (&Method::GET, None) if url == "/metrics" => text(request, &telemetry::install().render()),
        (&Method::POST, None) if url == "/v1/attempts" => attempt::handle_start(shared, request),
        (&Method::GET, None) => match url.strip_prefix("/v1/attempts/") {
            Some(id) => attempt::handle_resume(shared, request, id),
            None => respond_with_error(request, 404, "no such path; update the peer", "not-run"),
        },
        _ => respond_with_error(request, 404, "no such path; update the peer", "not-run"),
    }
}

/// Seconds after which a peer may retry while the link is congested.
const RETRY_AFTER: &str = "0.2";

fn respond_busy(request: Request) {
    let response = Response::from_string("the link is crowded; ask another");
    let response = response.with_status_code(503);
    request.respond(response.with_header("retry-after", RETRY_AFTER));
}

fn text(request: Request, text: &str) {
    request.respond(Response::from_string(text));
}

fn blob(shared: &Shared, digest: &str, request: Request) {
    let digest = digest.parse::<Digest>().ok();
    let Some(chunk) = digest.and_then(|digest| shared.find_blob(&digest)) else {
        respond_with_error(request, 404, "the chunk is not held; ask another", "run");
        return;
    };
    if shared.is_congested(ByteSize(chunk.len() as u64)) {
        respond_busy(request);
        return;
    }
    shared.throttle(ByteSize(chunk.len() as u64));
    request.respond(Response::from_data(chunk));
}
