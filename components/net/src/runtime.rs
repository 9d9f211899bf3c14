//! The Tokio runtime of the JSON-RPC server and clients.

use tokio::runtime::{Builder, Runtime};

/// Creates a runtime with `threads` worker threads.
pub fn runtime(threads: usize) -> std::io::Result<Runtime> {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build()
}
