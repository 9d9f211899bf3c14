//! A thread that watches one document of the platform while this process is a reader.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::Revision;
use net::Latch;
use proto::DocumentKind;

use crate::NodeEvent;

/// Maximum time that the service holds a watch request. A lost answer is missed only after
/// `READ_TIMEOUT` and a delay, which leaves time for gossip until the document must be in force.
const WATCH_TIME: Duration = Duration::from_secs(4);
/// Read timeout of a watch request; longer than `WATCH_TIME`.
const READ_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay between checks while this process is not a reader.
const DISABLED_PAUSE: Duration = Duration::from_millis(300);
/// Delay after the first failed watch; it doubles with each further failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum delay after a failed watch. If the service is down while the whole fleet starts, every
/// process retries at this interval.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(8);

/// State that the node shares with the watching thread.
#[derive(Clone)]
pub(crate) struct Watcher {
    /// Whether this process reads from the platform.
    enabled: Arc<AtomicBool>,
    /// The revision in force.
    revision: Arc<AtomicU64>,
}

impl Watcher {
    /// Starts the thread that watches the document `kind` at `addrs`, until `stop` is closed.
    pub(crate) fn start(
        kind: DocumentKind,
        addrs: Vec<SocketAddr>,
        stop: Latch,
        send: impl Fn(NodeEvent) -> bool + Send + 'static,
    ) -> Watcher {
        let watcher = Watcher { enabled: Arc::new(true.into()), revision: Arc::default() };
        let shared = watcher.clone();
        std::thread::spawn(move || shared.run(kind, &addrs, &stop, send));
        watcher
    }

    pub(crate) fn set_enabled(&self, enabled: bool) {
        self.enabled.store(enabled, Ordering::Relaxed);
    }

    pub(crate) fn set_revision(&self, revision: Revision) {
        self.revision.store(revision.0, Ordering::Relaxed);
    }

    fn run(
        &self,
        kind: DocumentKind,
        addrs: &[SocketAddr],
        stop: &Latch,
        send: impl Fn(NodeEvent) -> bool,
    ) {
        let client = net::pooled_client(READ_TIMEOUT);
        let name = match kind {
            DocumentKind::Manifest => "manifest",
            DocumentKind::Vms => "vms",
        };
        let mut offered = Revision(0);
        let mut retry_delay = MIN_RETRY_DELAY;
        for addr in addrs.iter().cycle() {
            if stop.is_closed() {
                return;
            }
            if !self.enabled.load(Ordering::Relaxed) {
                std::thread::sleep(DISABLED_PAUSE);
                continue;
            }
            // A refused document is not requested again; only a newer one is.
            let after = offered.max(Revision(self.revision.load(Ordering::Relaxed)));
            let at = Instant::now();
            match sources::watch_value(&client, *addr, name, after, WATCH_TIME) {
                Ok(Some(watch)) => {
                    retry_delay = MIN_RETRY_DELAY;
                    offered = watch.revision;
                    let cause = "platform";
                    let confirmed = NodeEvent::Confirmed { kind, revision: offered, at };
                    if !send(NodeEvent::Document { kind, text: watch.text, cause })
                        || !send(confirmed)
                    {
                        return;
                    }
                }
                Ok(None) => {
                    retry_delay = MIN_RETRY_DELAY;
                    if !send(NodeEvent::Confirmed { kind, revision: after, at }) {
                        return;
                    }
                }
                Err(_) => {
                    // Jitter between half of the delay and all of it, so that processes do not
                    // retry in step.
                    std::thread::sleep(retry_delay.mul_f64(0.5 + fastrand::f64() / 2.0));
                    retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
