//! The tokio runtime of the JSON-RPC server and clients.

use tokio::runtime::{Builder, Runtime};

/// A runtime with `threads` threads.
pub fn runtime(threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}
