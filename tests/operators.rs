//! Tests `status` and `audit` against running processes.

mod common;

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{ByteRate, ByteSize};
use common::{PEER_KEY, Platform, Process, run_operator_command, settings};
use manifest::{Role, Vm, VmList, VmState};
use serde_json::Value;
use standins::{BlobService, Engine, EngineSettings, ValueService, vms_value};
use testbed::{CallResult, Caller, Weights, publish_weights};

const TIMEOUT: Duration = Duration::from_secs(30);

fn status(at: SocketAddr) -> Value {
    let output = run_operator_command(&["status", "--at", &at.to_string(), "--json"], PEER_KEY);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).unwrap()
}

fn wait_until(description: &str, mut condition: impl FnMut() -> bool) {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < TIMEOUT, "{description}: not within {TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

fn vm(name: &str, role: Role, control: SocketAddr, data: SocketAddr) -> Vm {
    let (zone, region) = ("zone-0".parse().unwrap(), "region-0".parse().unwrap());
    Vm { id: name.parse().unwrap(), zone, region, role, state: VmState::Live, control, data }
}

fn manifest(weights: &Weights, revision: u64) -> String {
    let key = base::Digest::of(testbed::CALLER_KEY.as_bytes());
    format!(
        "revision: {revision}\nworkspaces:\n  - {{ id: counter, share: 100%, requests: 1000/s, keys: ['{key}'] }}\n\
         services:\n  - {{ id: assistant, kind: model }}\nmodels:\n  - id: base\n    versions:\n      \
         - {{ id: v1, size: {}, chunks: '{}' }}\nrollouts:\n  - {{ id: main, service: assistant, \
         workspace: counter, model: {{ id: base, version: v1 }}, replicas: 1 }}\n",
        weights.version.size, weights.version.chunks
    )
}

#[test]
fn operators_see_rollouts_refusals_and_the_audit_trail() {
    let config = ValueService::start().unwrap();
    let origin = BlobService::start(ByteRate(100_000_000), 1).unwrap();
    let store = BlobService::start(ByteRate(100_000_000), 1).unwrap();
    let platform = Platform { config: config.addr(), store: store.addr(), origin: origin.addr() };
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let weights = Weights::generate("v1", ByteSize(1 << 20), ByteSize(64 << 10), 1);
    publish_weights(&weights, &config, &origin);
    let process_section = format!("agent:\n  endpoint: {}\n", engine.addr());
    let text = settings("model-0", &platform, &process_section);
    let agent = Process::start("agent", "operators-agent", &text);
    let process_section = "entry:\n  callers: 127.0.0.1:0\n";
    let text = settings("entry-0", &platform, process_section);
    let entry = Process::start("entry", "operators-entry", &text);
    let (control, data) = (agent.addr("control"), agent.addr("data"));
    let at = entry.addr("control");
    let vms = vec![vm("model-0", Role::Model, control, data), vm("entry-0", Role::Entry, at, at)];
    config.publish("vms", 1, vms_value(&VmList { revision: base::Revision(1), vms }));
    config.publish("manifest", 1, manifest(&weights, 1));

    wait_until("rollout", || status(at)["rollouts"][0]["ready"] == 1);
    assert_eq!(status(control)["origin_bytes"], 1 << 20);
    let caller = Caller::default();
    wait_until("answer", || {
        matches!(caller.chat(entry.addr("callers"), "hi", 3), CallResult::Whole { .. })
    });

    // A rejected manifest appears in the status and in the audit trail, and the active one stays in
    // use.
    config.publish("manifest", 2, manifest(&weights, 2).replace("version: v1 }", "version: v9 }"));
    wait_until("refusal", || status(at)["refused"].is_string());
    assert_eq!(status(at)["manifest"], 1);
    let trail = run_operator_command(&["audit", "--at", &at.to_string()], PEER_KEY);
    let trail = String::from_utf8_lossy(&trail.stdout).into_owned();
    for kind in ["kind=manifest_accepted", "kind=manifest_refused", "kind=routed_in"] {
        assert!(trail.contains(kind), "{kind}: {trail}");
    }
    let orders = run_operator_command(&["audit", "--at", &control.to_string(), "--json"], PEER_KEY);
    let orders = String::from_utf8_lossy(&orders.stdout).into_owned();
    assert!(orders.contains("\"order\":\"activate\""), "{orders}");
    let table = run_operator_command(&["status", "--at", &at.to_string()], PEER_KEY);
    assert!(String::from_utf8_lossy(&table.stdout).contains("1/1"));

    // A wrong peer key reveals nothing.
    let refused =
        run_operator_command(&["status", "--at", &at.to_string()], "a-wrong-key-of-some-length");
    assert_eq!(refused.status.code(), Some(1));
    assert!(refused.stdout.is_empty());
}
