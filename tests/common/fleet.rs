//! A fleet of real processes: one entry that serves two engines and one plain service.

use std::{
    net::SocketAddr,
    thread::JoinHandle,
    time::{Duration, Instant},
};

use base::{ByteRate, ByteSize, Revision};
use manifest::{Role, Vm, VmList, VmState};
use standins::{BlobService, Engine, EngineSettings, PlainService, ValueService, vms_value};
use testbed::{CALLER_KEY, CallResult, Caller, Weights, publish_weights};

use crate::common::{Platform, Process, settings};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Time that the plain service takes for a call.
const CALL_TIME: Duration = Duration::from_millis(1500);
/// Number of tokens that takes an engine about 1.5 s to generate.
const STREAM_TOKENS: usize = 300;

/// One entry, two agents with engines and one agent with a plain service.
pub struct Fleet {
    _platform: (ValueService, BlobService, BlobService),
    /// Engines of the first two agents.
    pub engines: Vec<Engine>,
    /// Plain service of the last agent.
    pub plain: PlainService,
    /// Agents: two next to engines, then one next to the plain service.
    pub agents: Vec<Process>,
    /// Entry that callers connect to.
    pub entry: Process,
}

impl Fleet {
    /// Starts all processes and waits until requests reach every endpoint.
    pub fn start(name: &str) -> Fleet {
        let config = ValueService::start().unwrap();
        let origin = BlobService::start(ByteRate(100_000_000), 1).unwrap();
        let store = BlobService::start(ByteRate(100_000_000), 1).unwrap();
        let platform =
            Platform { config: config.addr(), store: store.addr(), origin: origin.addr() };
        let weights = Weights::generate("v1", ByteSize(256 << 10), ByteSize(64 << 10), 1);
        publish_weights(&weights, &config, &origin);
        let engines: Vec<Engine> =
            (0..2).map(|_| Engine::start(EngineSettings::default()).unwrap()).collect();
        let plain = PlainService::start(CALL_TIME).unwrap();
        let process = |command: &str, vm: &str, section: &str| {
            Process::start(command, &format!("{name}-{vm}"), &settings(vm, &platform, section))
        };
        let model = |n: usize| {
            let section = format!("agent:\n  endpoint: {}\n", engines[n].addr());
            process("agent", &format!("model-{n}"), &section)
        };
        let section =
            format!("agent:\n  endpoint: {}\n  kind: plain\n  service: orders\n", plain.addr());
        let agents = vec![model(0), model(1), process("agent", "plain-0", &section)];
        let entry = process("entry", "entry-0", "entry:\n  callers: 127.0.0.1:0\n");
        let orders = Role::Plain("orders".parse().unwrap());
        let vms = vec![
            vm("model-0", Role::Model, &agents[0]),
            vm("model-1", Role::Model, &agents[1]),
            vm("plain-0", orders, &agents[2]),
            vm("entry-0", Role::Entry, &entry),
        ];
        config.publish("vms", 1, vms_value(&VmList { revision: Revision(1), vms }));
        config.publish("manifest", 1, manifest(&weights));
        let _platform = (config, store, origin);
        let fleet = Fleet { _platform, engines, plain, agents, entry };
        let caller = Caller::default();
        wait_until("all endpoints", || {
            let all_serving = fleet.engines.iter().all(|e| e.serving().is_some());
            all_serving && matches!(caller.chat(fleet.callers(), "hi", 1), CallResult::Whole { .. })
        });
        wait_until("the service", || {
            caller.post_order(fleet.callers(), None, "hi") == expected_order_response()
        });
        fleet
    }

    /// Address that callers connect to.
    pub fn callers(&self) -> SocketAddr {
        self.entry.addr("callers")
    }

    /// Starts `count` streams and `count` orders of about 1.5 s each, and waits until all of them
    /// run. Each thread returns the response and the expected response.
    pub fn start_load(&self, count: usize) -> Vec<JoinHandle<(CallResult, CallResult)>> {
        let at = self.callers();
        let chat = move |n: usize| {
            let prompt = format!("stream {n}");
            let response = Caller::default().chat(at, &prompt, STREAM_TOKENS);
            (response, CallResult::Whole { release: "base@v1".into() })
        };
        let call = move |n: usize| {
            (
                Caller::default().post_order(at, None, &format!("order {n}")),
                expected_order_response(),
            )
        };
        let mut threads = Vec::new();
        for n in 0..count {
            threads.push(std::thread::spawn(move || chat(n)));
            threads.push(std::thread::spawn(move || call(n)));
        }
        wait_until("the load", || {
            let busy: usize = self.engines.iter().map(Engine::running_requests).sum();
            let orders =
                self.plain.run_counts().keys().filter(|key| key.starts_with("order")).count();
            busy == count && orders == count
        });
        threads
    }
}

/// The expected response to an order.
pub fn expected_order_response() -> CallResult {
    CallResult::Whole { release: String::new() }
}

fn vm(name: &str, role: Role, process: &Process) -> Vm {
    let (zone, region) = ("zone-0".parse().unwrap(), "region-0".parse().unwrap());
    let control = process.addr("control");
    let data = if role == Role::Entry { control } else { process.addr("data") };
    Vm { id: name.parse().unwrap(), zone, region, role, state: VmState::Live, control, data }
}

fn manifest(weights: &Weights) -> String {
    let key = base::Digest::of(CALLER_KEY.as_bytes());
    format!(
        "revision: 1\nworkspaces:\n  - {{ id: counter, share: 100%, requests: 1000/s, keys: ['{key}'] }}\n\
         services:\n  - {{ id: assistant, kind: model }}\n  - {{ id: orders, kind: plain, \
         unrepeatable: [{{ method: POST, path: /orders }}] }}\nmodels:\n  - id: base\n    \
         versions:\n      - {{ id: v1, size: {}, chunks: '{}' }}\nrollouts:\n  - {{ id: main, \
         service: assistant, workspace: counter, model: {{ id: base, version: v1 }}, replicas: 2 }}\n",
        weights.version.size, weights.version.chunks
    )
}

/// Waits until `condition` holds; panics after `TIMEOUT`.
pub fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{description}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(10));
    }
}
