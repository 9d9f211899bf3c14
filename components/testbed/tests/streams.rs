//! Streams stay complete despite silent connections and crashes, and are cancelled when callers leave.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use base::ByteSize;
use manifest::Role;
use settings::AgentSettings;
use standins::{Engine, EngineSettings};
use testbed::{AgentVm, CALLER_KEY, CallResult, Caller, Relay, Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Time in which an engine is freed after its caller disconnected. It is shorter than the 10 s for
/// which agents wait for a lost entry.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(5);
/// Tokens of a completion that takes about two seconds.
const TOKENS: usize = 400;

fn whole() -> CallResult {
    CallResult::Whole { release: "base@v1".into() }
}

/// Starts one entry and engines that all serve `v1`.
fn start(agents: usize) -> Testbed {
    let bed = Testbed::start(TestbedSettings { agents, ..TestbedSettings::default() }).unwrap();
    roll_out(bed, agents)
}

fn roll_out(mut bed: Testbed, replicas: usize) -> Testbed {
    let weights = Weights::generate("v1", ByteSize(256 << 10), ByteSize(64 << 10), 1);
    bed.add_version(&weights);
    bed.roll_out("v1", replicas, 1);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == replicas).unwrap();
    wait_ready(&bed, replicas);
    bed
}

fn wait_ready(bed: &Testbed, count: usize) {
    bed.wait_until("endpoints", TIMEOUT, |bed| {
        let status = bed.status(bed.entries[0].1.control()).unwrap();
        status.endpoints.iter().filter(|row| row.state == "ready").count() == count
    })
    .unwrap();
}

fn engines(bed: &Testbed) -> impl Iterator<Item = &Engine> {
    bed.agents.iter().filter_map(|slot| slot.engine.as_ref())
}

fn running_requests(bed: &Testbed) -> usize {
    engines(bed).map(Engine::running_requests).sum()
}

fn runs(bed: &Testbed) -> u32 {
    engines(bed).map(|engine| engine.counts().runs.values().sum::<u32>()).sum()
}

fn in_flight(bed: &Testbed) -> usize {
    bed.status(bed.entries[0].1.control()).unwrap().in_flight
}

fn send(bed: &Testbed, prompt: &'static str) -> std::thread::JoinHandle<CallResult> {
    let entry = bed.caller_addr(0);
    std::thread::spawn(move || Caller::default().chat(entry, prompt, TOKENS))
}

/// Sends a request and returns the open connection.
fn open_request(entry: SocketAddr, tokens: usize, stream: bool) -> TcpStream {
    let body = format!(
        r#"{{"stream":{stream},"max_tokens":{tokens},"messages":[{{"role":"user","content":"x"}}]}}"#
    );
    let mut stream = TcpStream::connect(entry).unwrap();
    let length = body.len();
    write!(
        stream,
        "POST /assistant/v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer \
         {CALLER_KEY}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
    .unwrap();
    stream
}

#[test]
fn a_stream_between_agent_and_entry_continues_after_silence() {
    let mut bed = start(2);
    let relays: Vec<Relay> =
        bed.agents.iter().map(|slot| Relay::start(slot.vm.data).unwrap()).collect();
    for (slot, relay) in bed.agents.iter_mut().zip(&relays) {
        slot.vm.data = relay.addr();
    }
    bed.publish_vms();
    let revision = bed.vms.revision;
    let control = bed.entries[0].1.control();
    bed.wait_until("list", TIMEOUT, |bed| bed.status(control).unwrap().vms == revision).unwrap();
    let sent = send(&bed, "silence");
    bed.wait_until("the run", TIMEOUT, |bed| running_requests(bed) == 1).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    relays.iter().for_each(Relay::blackhole);
    assert_eq!(sent.join().unwrap(), whole());
    assert_eq!(runs(&bed), 1);
    bed.stop();
}

#[test]
fn a_stream_between_engine_and_agent_continues_after_silence() {
    let mut bed =
        Testbed::start(TestbedSettings { agents: 0, ..TestbedSettings::default() }).unwrap();
    let engine = Engine::start(EngineSettings::default()).unwrap();
    let relay = Relay::start(engine.addr()).unwrap();
    let options = AgentSettings { endpoint: relay.addr(), ..AgentSettings::default() };
    let (vm, agent) = bed.start_agent("model-0", 0, Role::Model, options).unwrap();
    bed.agents.push(AgentVm { vm, agent: Some(agent), engine: Some(engine), plain_service: None });
    bed.publish_vms();
    let mut bed = roll_out(bed, 1);
    let sent = send(&bed, "silence");
    bed.wait_until("the run", TIMEOUT, |bed| running_requests(bed) == 1).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    relay.blackhole();
    assert_eq!(sent.join().unwrap(), whole());
    assert_eq!(runs(&bed), 1);
    bed.stop();
}

#[test]
fn a_stream_goes_on_at_another_endpoint_after_a_crash() {
    let mut bed = start(3);
    let sent = send(&bed, "crash");
    bed.wait_until("the run", TIMEOUT, |bed| running_requests(bed) == 1).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    engines(&bed).find(|engine| engine.running_requests() == 1).unwrap().crash();
    assert_eq!(sent.join().unwrap(), whole());
    assert_eq!(runs(&bed), 2, "the crashed run and the one that answered");
    bed.stop();
}

#[test]
fn a_stream_that_cannot_go_on_ends_with_an_error() {
    let mut bed = start(1);
    let sent = send(&bed, "crash");
    bed.wait_until("the run", TIMEOUT, |bed| running_requests(bed) == 1).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    // The only endpoint restarts with the same release, so the stream may still be completed.
    engines(&bed).for_each(Engine::crash);
    let answer = sent.join().unwrap();
    assert!(answer == CallResult::Cut || answer == whole(), "{answer:?}");
    bed.stop();
}

#[test]
fn a_caller_that_leaves_frees_the_engine() {
    let mut bed = start(1);
    let mut stream = open_request(bed.caller_addr(0), 4000, true);
    stream.read_exact(&mut [0; 400]).unwrap();
    assert_eq!(running_requests(&bed), 1);
    drop(stream);
    bed.wait_until("a free engine", CANCEL_TIMEOUT, |bed| running_requests(bed) == 0).unwrap();
    bed.wait_until("no request", TIMEOUT, |bed| in_flight(bed) == 0).unwrap();
    let counts = engines(&bed).next().unwrap().counts();
    assert_eq!(counts.cancelled, 1);
    assert_eq!(counts.runs.len(), 1, "it is not retried after its caller left");
    bed.stop();
}

#[test]
fn a_caller_that_leaves_before_the_first_byte_frees_the_engine() {
    let mut bed = start(1);
    let stream = open_request(bed.caller_addr(0), 4000, false);
    bed.wait_until("the run", TIMEOUT, |bed| running_requests(bed) == 1).unwrap();
    drop(stream);
    bed.wait_until("a free engine", CANCEL_TIMEOUT, |bed| running_requests(bed) == 0).unwrap();
    bed.wait_until("no request", TIMEOUT, |bed| in_flight(bed) == 0).unwrap();
    bed.stop();
}

#[test]
fn a_slow_unstreamed_response_does_not_time_out() {
    let engine =
        EngineSettings { token_time: Duration::from_millis(500), ..EngineSettings::default() };
    let settings = TestbedSettings { agents: 1, engine, ..TestbedSettings::default() };
    let mut bed = roll_out(Testbed::start(settings).unwrap(), 1);
    let body = r#"{"max_tokens":9,"messages":[{"role":"user","content":"x"}]}"#;
    let mut response = net::unpooled_client(TIMEOUT)
        .post(format!("http://{}/assistant/v1/chat/completions", bed.caller_addr(0)))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .send(body)
        .unwrap();
    let text = response.body_mut().read_to_string().unwrap();
    assert!(text.contains(&standins::expected_completion("base@v1", "x", 9)), "{text}");
    assert_eq!(runs(&bed), 1);
    bed.stop();
}
