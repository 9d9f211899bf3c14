//! The cases.

mod freeze;
mod leaving;
mod recovery;
mod silence;
mod stopping;

use std::{io, path::Path};

use crate::{
    Verdict,
    record::Record,
    weights::{LAYERS, MODEL, PIECE_BYTES, PIECES},
};

pub fn play(case: &str, dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    match case {
        "freeze" => freeze::play(dir, trouble, record),
        "leaving" => leaving::play(dir, trouble, record),
        "recovery" => recovery::play(dir, trouble, record),
        "silence" => silence::play(dir, trouble, record),
        "stopping" => stopping::play(dir, trouble, record),
        _ => Err(io::Error::other("no such case")),
    }
}

/// The limits of the configurations, as on the pages.
const LIMITS: &str = r#"{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}"#;
/// The key of all callers.
const KEY: &str = "jnbanfqasnmgkcuyj8pj";

/// The request of an order that may run once.
fn order_request(id: &str) -> Vec<u8> {
    let body = "x".repeat(600);
    format!(
        "POST /orders/{id} HTTP/1.1\r\nhost: desk.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 4000\r\nauthorization: Bearer {KEY}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// The route and the service of orders.
fn order_route() -> String {
    r#"{"name":"orders","host":"desk.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"desk","max_attempts":1,"allow_anonymous":false}"#.to_owned()
}

pub fn config(routes: &str, services: &str) -> String {
    format!(
        r#"{{"version":1,"routes":[{routes}],"services":[{services}],"limits":{LIMITS},"tenants":[{{"name":"bozi300","api_keys":["{KEY}"],"priority":1}}]}}"#
    )
}

const DESK_SERVICE: &str = r#"{"name":"desk","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false}"#;

/// The route of streams that may be resumed.
pub fn talk_route() -> String {
    r#"{"name":"talk","host":"talk.example","path_prefix":"/talk/","kind":"streaming","timeout_ms":6000,"target_latency_ms":400,"priority":1,"service":"talk","max_attempts":2,"allow_anonymous":false,"session_affinity":true,"resume_streams":true,"gap_target_ms":400}"#.to_owned()
}

/// The service of the runners with an engine.
pub fn talk_service() -> String {
    format!(
        r#"{{"name":"talk","health_check_path":"/health","max_connections":424,"protocol":"h1","tls":false,"engine":{{"slots":16,"kv_cache_tokens":317000,"kv_token_bytes":262144,"link_mbps":400000.0,"stride":5,"models":[{{"name":"{MODEL}","pace":1.0,"load_time_s":4.0,"warm_s":0.3}}],"megabytes":149000.0,"step_ms":9.27,"per_seq_ms":0.0232,"context_per_k":0.0322,"read_per_s":20700.0,"pairs_per_m":1.18,"chunk":2048,"report_lag_ms":200.0,"usual":{{"prompt":979,"answer":92}},"layers":{LAYERS},"layer_mb":4090.0,"act_bytes":16384,"chunks":{PIECES},"chunk_bytes":{PIECE_BYTES}}}}}"#
    )
}

/// The request of a stream.
pub fn talk_request(id: &str) -> Vec<u8> {
    format!(
        "POST /talk/{id} HTTP/1.1\r\nhost: talk.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 6000\r\nauthorization: Bearer {KEY}\r\nx-model: {MODEL}\r\n\
         x-token-counts: 979,40\r\nx-prompt-prefix: 5c1e07a2:40,{id}:939\r\n\
         content-length: 2\r\n\r\n{{}}"
    )
    .into_bytes()
}
