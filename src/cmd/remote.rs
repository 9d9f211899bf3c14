//! Asks a running process.

use anyhow::Context;
use net::PeerCaller;
use settings::{PeerKey, Settings};
use tokio::runtime::Runtime;

use crate::cli::Target;

/// Environment variable with the peer key.
const KEY_VARIABLE: &str = "CARAWAYPADDLE_PEER_KEY";

/// Calls to a process; the runtime must live as long as they are made.
pub struct Remote {
    /// Threads of the calls.
    _runtime: Runtime,
    /// The calls.
    pub peers: PeerCaller,
}

impl Remote {
    /// Prepares calls to `target`.
    pub fn new(target: &Target) -> anyhow::Result<Remote> {
        let key = match &target.settings {
            Some(file) => Settings::load(file)?.peer_key,
            None => std::env::var(KEY_VARIABLE).map(PeerKey::new).with_context(|| {
                format!("the peer key is missing; give --settings FILE or set {KEY_VARIABLE}")
            })?,
        };
        let runtime = net::runtime(1)?;
        let peers = PeerCaller::new(runtime.handle().clone(), key);
        Ok(Remote { _runtime: runtime, peers })
    }
}
