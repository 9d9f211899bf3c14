//! Start and stop of an agent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use anyhow::Context;
use base::Incarnation;
use chunks::{ChunkCache, LinkLimiter};
use net::{DrainTimer, Latch, Listener, Mailbox, PeerCaller, RpcServer, ThreadPool};
use node::{Identity, Node, wall_clock_ms};
use settings::Settings;
use slog::Logger;
use stakker::{Stakker, actor, call, ret_shutdown};
use tokio::runtime::Handle;

use crate::{
    core::{Core, Shared},
    data,
    engine::Engine,
    event::Event,
};

/// Maximum time without data from a peer on the data address.
const DATA_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of concurrent requests on the data address.
const MAX_DATA_REQUESTS: usize = 512;
/// Maximum time without data from a peer that sends a chunk.
const PEER_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time without data from the weight store and the origin, which queue reads.
const PLATFORM_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of threads for blocking calls.
const WORKER_THREADS: usize = 16;

/// A running agent.
pub struct Agent {
    control: SocketAddr,
    data: SocketAddr,
    mailbox: Mailbox<Event>,
    drain: DrainTimer,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Agent {
    /// Starts an agent; JSON-RPC runs on the threads of `runtime`.
    pub fn start(settings: Settings, runtime: &Handle, log: Logger) -> anyhow::Result<Agent> {
        let options = settings.agent.clone().context("agent: section is missing; add it")?;
        // Must precede the first metric update, which is lost otherwise.
        telemetry::install();
        let stop = Latch::default();
        let (mailbox, events) = Mailbox::new();
        let shared = Shared {
            cache: Arc::new(Mutex::new(ChunkCache::new(options.memory))),
            link: Arc::new(Mutex::new(LinkLimiter::new(options.link))),
            engine: Engine::new(options.endpoint),
            workers: ThreadPool::start(WORKER_THREADS)?,
            list_cache: Arc::default(),
            peer_client: net::pooled_client(PEER_IDLE_TIMEOUT),
            platform_client: net::pooled_client(PLATFORM_IDLE_TIMEOUT),
            mailbox: mailbox.clone(),
            kind: options.kind,
            crashes: Arc::default(),
            running: Arc::default(),
        };
        let calls = mailbox.clone();
        let deliver = move |call| calls.send(Event::Peer(call));
        let key = settings.peer_key.clone();
        let rpc = runtime.block_on(RpcServer::start(settings.control, key.clone(), deliver));
        let rpc = rpc.with_context(|| format!("control: {} cannot be bound", settings.control))?;
        let listener =
            Listener::bind(settings.data, DATA_IDLE_TIMEOUT, MAX_DATA_REQUESTS).context("data")?;
        let (control, data) = (rpc.addr(), listener.addr());
        let (served, served_key) = (shared.clone(), key.clone());
        let handle = move |request| data::handle(&served, &served_key, request);
        let handlers = listener.serve(stop.clone(), handle);
        let drain = DrainTimer::new(settings.drain.0);
        let bound = drain.clone();
        let peers = PeerCaller::new(runtime.clone(), key);
        let sender = mailbox.clone();
        let thread = std::thread::Builder::new().name("agent".to_owned()).spawn(move || {
            let incarnation = Incarnation(wall_clock_ms());
            let identity = Identity { settings, incarnation };
            let mut stakker = Stakker::new(Instant::now());
            let node = Node::start(identity, peers, log, stop.clone(), move |event| {
                sender.send(Event::Node(event))
            });
            let core = actor!(stakker, Core::init(node, options, shared), ret_shutdown!(stakker));
            net::run_event_loop(stakker, events, |_, event| call!([core], handle(event)));
            stop.close();
            handlers.wait(bound.deadline());
            rpc.stop();
        })?;
        Ok(Agent { control, data, mailbox, drain, thread: Mutex::new(Some(thread)) })
    }

    /// The bound address for JSON-RPC.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// The bound address for chunks and response streams.
    pub fn data(&self) -> SocketAddr {
        self.data
    }

    /// Starts a graceful shutdown: accepts no new work and lets requests in progress finish.
    pub fn drain(&self) {
        self.drain.begin();
        self.mailbox.send(Event::Drain);
    }

    /// Blocks the core for a while, as on a paused VM; for tests of failures.
    pub fn pause(&self, pause: Duration) {
        self.mailbox.send(Event::Pause(pause));
    }

    /// Stops the agent at once, as if its VM died; for tests of failures.
    pub fn kill(&self) {
        self.mailbox.send(Event::Kill);
    }

    /// Waits until the agent has stopped.
    pub fn wait(&self) {
        let thread = self.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            // The panic hook has already printed a panic of the thread.
            let _ = thread.join();
        }
    }
}
