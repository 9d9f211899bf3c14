//! Reads chunks by digest from a peer, the weight store or the origin: `GET /v1/blobs/DIGEST`.

use std::{net::SocketAddr, time::Duration};

use base::{ByteSize, Digest};
use bytes::Bytes;
use ureq::Agent;

/// Retry delay if the source does not specify one.
const DEFAULT_RETRY: Duration = Duration::from_millis(500);

/// Error of reading a chunk.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BlobError {
    /// The source does not have it.
    #[error("source does not have the chunk; ask another")]
    Missing,
    /// The source limits reads; retry after the given time.
    #[error("source limits reads; retry in {}ms", .0.as_millis())]
    Limited(Duration),
    /// The bytes do not match the digest.
    #[error("chunk is corrupted; ask another source")]
    Corrupted,
    /// The connection failed or stalled, or the source returned an unexpected status.
    #[error("source failed: {0}; ask another")]
    Failed(String),
}

/// Reads the chunk `digest` of at most `limit` bytes and verifies it against the digest.
pub fn fetch_blob(
    client: &Agent,
    addr: SocketAddr,
    key: Option<&str>,
    digest: Digest,
    limit: ByteSize,
) -> Result<Bytes, BlobError> {
    let failed = |err: ureq::Error| BlobError::Failed(err.to_string());
    let mut request = client.get(format!("http://{addr}/v1/blobs/{digest}"));
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let mut response = request.call().map_err(failed)?;
    match response.status().as_u16() {
        200 => {}
        404 => return Err(BlobError::Missing),
        429 | 503 => return Err(BlobError::Limited(retry_after(&response))),
        status => return Err(BlobError::Failed(format!("status {status}"))),
    }
    let body = response.body_mut().with_config().limit(limit.0 + 1);
    let body = body.read_to_vec().map_err(failed)?;
    if Digest::of(&body) != digest {
        return Err(BlobError::Corrupted);
    }
    Ok(body.into())
}

fn retry_after<T>(response: &ureq::http::Response<T>) -> Duration {
    let value = response.headers().get("retry-after").and_then(|v| v.to_str().ok());
    let seconds = value.and_then(|v| v.parse::<f64>().ok()).filter(|s| (0.0..=600.0).contains(s));
    seconds.map_or(DEFAULT_RETRY, Duration::from_secs_f64)
}
