//! Calls to a running process.

use anyhow::Context;
use net::PeerCaller;
use settings::{PeerKey, Settings};
use tokio::runtime::Runtime;

use crate::cli::Target;

/// Environment variable that holds the peer key.
const PEER_KEY_VARIABLE: &str = "CARAWAYPADDLE_PEER_KEY";

/// Client of a running process; keeps the runtime of its calls alive.
pub struct Remote {
    /// Runtime on which the calls run; they fail once it is dropped.
    _runtime: Runtime,
    /// Client for JSON-RPC calls.
    pub peers: PeerCaller,
}

impl Remote {
    /// Creates a client with the peer key of `target` or of the environment.
    pub fn new(target: &Target) -> anyhow::Result<Remote> {
        let key = match &target.settings {
            Some(file) => Settings::load(file)?.peer_key,
            None => std::env::var(PEER_KEY_VARIABLE).map(PeerKey::new).with_context(|| {
                format!("the peer key is missing; give --settings FILE or set {PEER_KEY_VARIABLE}")
            })?,
        };
        let runtime = net::runtime(1)?;
        let peers = PeerCaller::new(runtime.handle().clone(), key);
        Ok(Remote { _runtime: runtime, peers })
    }
}
