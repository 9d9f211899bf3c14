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

/// Longest wait of a watch.
const WAIT: Duration = Duration::from_secs(10);
/// Longest silence of the service during a watch.
const READ_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause while this process is not a reader.
const PAUSE: Duration = Duration::from_millis(300);
/// Pause after the first failed watch; it doubles with each further one.
const FIRST_RETRY: Duration = Duration::from_millis(200);
/// Longest pause after a failed watch. When the service is down as the whole fleet starts, all of it
/// asks this often.
const LAST_RETRY: Duration = Duration::from_secs(8);

/// Settings that the core changes while the thread runs.
#[derive(Clone)]
pub(crate) struct Watcher {
    /// Whether this process reads from the platform.
    enabled: Arc<AtomicBool>,
    /// The revision that is in force.
    have: Arc<AtomicU64>,
}

impl Watcher {
    /// Starts the thread.
    pub(crate) fn start(
        kind: DocumentKind,
        addrs: Vec<SocketAddr>,
        stop: Latch,
        send: impl Fn(NodeEvent) -> bool + Send + 'static,
    ) -> Watcher {
        let watcher = Watcher { enabled: Arc::new(true.into()), have: Arc::default() };
        let shared = watcher.clone();
        std::thread::spawn(move || shared.run(kind, &addrs, &stop, send));
        watcher
    }

    pub(crate) fn enable(&self, enabled: bool) {
        self.enabled.store(enabled, Ordering::Relaxed);
    }

    pub(crate) fn set_have(&self, revision: Revision) {
        self.have.store(revision.0, Ordering::Relaxed);
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
        let mut retry = FIRST_RETRY;
        for addr in addrs.iter().cycle() {
            if stop.is_closed() {
                return;
            }
            if !self.enabled.load(Ordering::Relaxed) {
                std::thread::sleep(PAUSE);
                continue;
            }
            // A refused document is not asked for again; only a newer one is.
            let after = offered.max(Revision(self.have.load(Ordering::Relaxed)));
            let at = Instant::now();
            match sources::watch(&client, *addr, name, after, WAIT) {
                Ok(Some(watch)) => {
                    retry = FIRST_RETRY;
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
                    retry = FIRST_RETRY;
                    if !send(NodeEvent::Confirmed { kind, revision: after, at }) {
                        return;
                    }
                }
                Err(_) => {
                    // Between half of the pause and all of it, so that processes spread out.
                    std::thread::sleep(retry.mul_f64(0.5 + fastrand::f64() / 2.0));
                    retry = (retry * 2).min(LAST_RETRY);
                }
            }
        }
    }
}
