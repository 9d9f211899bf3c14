//! Starts and stops an agent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread::JoinHandle,
    time::{Duration, Instant},
};

use anyhow::Context;
use base::Incarnation;
use chunks::{ChunkCache, LinkLimiter};
use net::{Drain, Latch, Listener, Mailbox, Peers, RpcServer, Workers};
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

/// Longest wait for a peer's next bytes on the data address.
const DATA_IDLE: Duration = Duration::from_secs(30);
/// Most requests in progress on the data address.
const DATA_REQUESTS: usize = 512;
/// Longest silence of a peer that gives a chunk.
const PEER_TIMEOUT: Duration = Duration::from_secs(3);
/// Longest silence of the weight store and the origin, which queue reads.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(30);
/// Threads for calls that block.
const WORKERS: usize = 16;

/// A running agent.
pub struct Agent {
    control: SocketAddr,
    data: SocketAddr,
    mailbox: Mailbox<Event>,
    drain: Drain,
    thread: Mutex<Option<JoinHandle<()>>>,
}

impl Agent {
    /// Starts an agent; JSON-RPC runs on the threads of `runtime`.
    pub fn start(settings: Settings, runtime: &Handle, log: Logger) -> anyhow::Result<Agent> {
        let options = settings.agent.clone().context("agent: section is missing; add it")?;
        // Installed before the first count, which is lost otherwise.
        telemetry::install();
        let stop = Latch::default();
        let (mailbox, events) = Mailbox::new();
        let shared = Shared {
            pool: Arc::new(Mutex::new(ChunkCache::new(options.memory))),
            link: Arc::new(Mutex::new(LinkLimiter::new(options.link))),
            engine: Engine::new(options.endpoint),
            workers: Workers::start(WORKERS)?,
            lists: Arc::default(),
            peer_client: net::pooled(PEER_TIMEOUT),
            platform_client: net::pooled(PLATFORM_TIMEOUT),
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
        let listener = Listener::bind(settings.data, DATA_IDLE, DATA_REQUESTS).context("data")?;
        let (control, data) = (rpc.addr(), listener.addr());
        let (served, served_key) = (shared.clone(), key.clone());
        let handle = move |request| data::handle(&served, &served_key, request);
        let handlers = listener.serve(stop.clone(), handle);
        let drain = Drain::new(settings.drain.0);
        let bound = drain.clone();
        let peers = Peers::new(runtime.clone(), key);
        let sender = mailbox.clone();
        let thread = std::thread::Builder::new().name("agent".to_owned()).spawn(move || {
            let incarnation = Incarnation(wall_clock_ms());
            let identity = Identity { settings, incarnation };
            let mut stakker = Stakker::new(Instant::now());
            let node = Node::start(identity, peers, log, stop.clone(), move |event| {
                sender.send(Event::Node(event))
            });
            let core = actor!(stakker, Core::init(node, options, shared), ret_shutdown!(stakker));
            net::run(stakker, events, |_, event| call!([core], handle(event)));
            stop.close();
            handlers.wait(bound.until());
            rpc.stop();
        })?;
        Ok(Agent { control, data, mailbox, drain, thread: Mutex::new(Some(thread)) })
    }

    /// Address for JSON-RPC.
    pub fn control(&self) -> SocketAddr {
        self.control
    }

    /// Address for chunks and answer streams.
    pub fn data(&self) -> SocketAddr {
        self.data
    }

    /// Begins a planned stop: no new work, requests in progress end.
    pub fn drain(&self) {
        self.drain.begin();
        self.mailbox.send(Event::Drain);
    }

    /// Makes the core stand still for a while, as on a VM that is paused; for tests of failures.
    pub fn pause(&self, pause: Duration) {
        self.mailbox.send(Event::Pause(pause));
    }

    /// Ends the agent at once, as when its VM dies; for tests of failures.
    pub fn kill(&self) {
        self.mailbox.send(Event::Kill);
    }

    /// Waits until the agent has stopped.
    pub fn wait(&self) {
        let thread = self.thread.lock().expect("no holder panics").take();
        if let Some(thread) = thread {
            // A panic of the thread has been printed by its hook.
            let _ = thread.join();
        }
    }
}
