//! Startup and shutdown of an entry.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread::JoinHandle,
    time::Instant,
};

use anyhow::Context;
use base::Incarnation;
use net::{DrainTimer, Latch, Listener, Mailbox, PeerCaller, RpcServer};
use node::{Identity, Node, wall_clock_ms};
use settings::Settings;
use slog::Logger;
use stakker::{Stakker, actor, call, ret_shutdown};
use telemetry::MetricsHandle;
use tokio::runtime::Handle;

use crate::{
    attempt::{AttemptRunner, SILENCE_TIMEOUT},
    caller::RequestHandler,
    core::Core,
    event::Event,
};

/// A running entry.
pub struct Entry {
    callers: SocketAddr,
    control: SocketAddr,
    mailbox: Mailbox<Event>,
    ready: Arc<AtomicBool>,
    drain: DrainTimer,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Entry {
    /// Starts an entry; JSON-RPC runs on the threads of `runtime`.
    pub fn start(
        settings: Settings,
        runtime: &Handle,
        metrics: MetricsHandle,
        log: Logger,
    ) -> anyhow::Result<Entry> {
        let options = settings.entry.clone().context("entry: section is missing; add it")?;
        let stop = Latch::default();
        let (mailbox, events) = Mailbox::new();
        let calls = mailbox.clone();
        let deliver = move |call| calls.send(Event::Peer(call));
        let key = settings.peer_key.clone();
        let rpc = runtime.block_on(RpcServer::start(settings.control, key.clone(), deliver));
        let rpc = rpc.with_context(|| format!("control: {} cannot be bound", settings.control))?;
        let peers = PeerCaller::new(runtime.clone(), key.clone());
        let listener = Listener::bind(options.callers, options.idle.0, options.connections)
            .context("entry.callers")?;
        let (callers, control) = (listener.addr(), rpc.addr());
        let ready = Arc::new(AtomicBool::new(true));
        let runner = AttemptRunner {
            client: net::unpooled_client(SILENCE_TIMEOUT),
            peers: peers.clone(),
            key,
        };
        let handler = RequestHandler {
            settings: options,
            mailbox: mailbox.clone(),
            runner,
            metrics,
            ready: ready.clone(),
        };
        let handlers = listener.serve(stop.clone(), move |request| handler.handle(request));
        let drain = DrainTimer::new(settings.drain.0);
        let shutdown = drain.clone();
        let sender = mailbox.clone();
        let thread = std::thread::Builder::new().name("entry".to_owned()).spawn(move || {
            let incarnation = Incarnation(wall_clock_ms());
            let identity = Identity { settings, incarnation };
            let mut stakker = Stakker::new(Instant::now());
            let events_sender = sender.clone();
            let node = Node::start(identity, peers, log, stop.clone(), move |event| {
                events_sender.send(Event::Node(event))
            });
            let core = actor!(stakker, Core::init(node, sender), ret_shutdown!(stakker));
            net::run_event_loop(stakker, events, |_, event| call!([core], handle(event)));
            stop.close();
            handlers.wait(shutdown.deadline());
            rpc.stop();
        })?;
        Ok(Entry { callers, control, mailbox, ready, drain, thread: Mutex::new(Some(thread)) })
    }

    /// The address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address of the JSON-RPC control interface.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Begins a graceful shutdown: reports not ready, refuses new requests and lets requests in
    /// progress finish.
    pub fn drain(&self) {
        self.ready.store(false, Ordering::Relaxed);
        self.drain.begin();
        self.mailbox.send(Event::Drain);
    }

    /// Waits until the entry has stopped.
    pub fn wait(&self) {
        let thread = self.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}
