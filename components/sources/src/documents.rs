//! Reads and watches values of the configuration service and the VM list.
//!
//! `GET /v1/values/NAME?after=REVISION&wait=SECONDS` returns 200 with the value and its
//! `x-revision`, or 204 if there was no newer one within the wait.

use std::{net::SocketAddr, time::Duration};

use anyhow::{Context, bail};
use base::Revision;
use ureq::Agent;

/// Maximum size of a value in bytes. It fits a VM list, which may be larger than a value of the
/// configuration service.
const MAX_TEXT_BYTES: u64 = 4 << 20;

/// A value with its revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RevisionedValue {
    /// Revision reported by the service; 0 if it reports none.
    pub revision: Revision,
    /// The value.
    pub text: Vec<u8>,
}

/// Reads the value `name`.
pub fn read_value(client: &Agent, addr: SocketAddr, name: &str) -> anyhow::Result<Vec<u8>> {
    let url = format!("http://{addr}/v1/values/{name}");
    match get(client, &url)? {
        Some(watch) => Ok(watch.text),
        None => bail!("{url}: has no value; publish it"),
    }
}

/// Waits until the value `name` is newer than `after`; `None` if it is not newer within `wait`.
pub fn watch_value(
    client: &Agent,
    addr: SocketAddr,
    name: &str,
    after: Revision,
    wait: Duration,
) -> anyhow::Result<Option<RevisionedValue>> {
    let url = format!("http://{addr}/v1/values/{name}?after={after}&wait={}", wait.as_secs());
    get(client, &url)
}

fn get(client: &Agent, url: &str) -> anyhow::Result<Option<RevisionedValue>> {
    let mut response = client.get(url).call().with_context(|| format!("{url}: no answer"))?;
    match response.status().as_u16() {
        200 => {}
        204 => return Ok(None),
        status => bail!("{url}: status {status}; retry later"),
    }
    let revision = response.headers().get("x-revision");
    let revision = revision.and_then(|v| v.to_str().ok()).and_then(|v| v.parse().ok());
    let text = response.body_mut().with_config().limit(MAX_TEXT_BYTES).read_to_vec()?;
    Ok(Some(RevisionedValue { revision: revision.unwrap_or_default(), text }))
}
