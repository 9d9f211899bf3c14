//! Streams of a service that end inside an event never look complete to a caller.

use std::{
    io::{BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    time::Duration,
};

use manifest::Role;
use settings::{AgentSettings, EndpointKind};
use testbed::{CallResult, Caller, Testbed, TestbedSettings};

const TIMEOUT: Duration = Duration::from_secs(30);
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// Starts a service that answers each call with `answer` and closes the connection.
fn start_service(answer: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || serve(stream, answer));
        }
    });
    addr
}

/// Reads a request, and answers it unless the peer disconnects.
fn serve(stream: TcpStream, answer: &str) -> Option<()> {
    let mut lines = BufReader::new(&stream);
    let mut first = String::new();
    lines.read_line(&mut first).ok()?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        lines.read_line(&mut line).ok()?;
        let line = line.trim().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().ok()?;
        }
        if line.is_empty() {
            break;
        }
    }
    std::io::Read::read_exact(&mut lines, &mut vec![0; length]).ok()?;
    let is_probe = first.contains("/healthz");
    let text = if is_probe { "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n" } else { answer };
    (&stream).write_all(text.as_bytes()).ok()
}

/// Starts a fleet with one service that answers each call with `answer`.
fn start(answer: &'static str) -> Testbed {
    let settings = TestbedSettings { agents: 0, plain_services: 1, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    let agent = bed.agents[0].agent.take().unwrap();
    agent.drain();
    agent.wait();
    let options = AgentSettings {
        endpoint: start_service(answer),
        kind: EndpointKind::Plain,
        service: "orders".parse().ok(),
        ..AgentSettings::default()
    };
    let role = Role::Plain("orders".parse().unwrap());
    let (vm, agent) = bed.start_agent("plain-0", 0, role, options).unwrap();
    (bed.agents[0].vm, bed.agents[0].agent) = (vm, Some(agent));
    bed.publish_vms();
    bed.wait_until("the endpoint", TIMEOUT, |bed| {
        let status = bed.status(bed.entries[0].1.control()).unwrap();
        status.endpoints.iter().any(|row| row.state == "ready")
    })
    .unwrap();
    bed
}

/// The end of the connection was taken for the end of the response, also inside an event.
#[test]
fn an_unframed_stream_that_ends_inside_an_event_is_cut_off() {
    let answer = answer_text(STREAM_HEAD, "id: 1\ndata: a\n\nid: 2\nda");
    let mut bed = start(answer);
    let result = Caller::default().post_order(bed.caller_addr(0), None, "two plates");
    assert_eq!(result, CallResult::Cut);
    bed.stop();
}

/// A whole stream may end with its connection.
#[test]
fn an_unframed_stream_that_ends_after_an_event_is_whole() {
    let events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let mut bed = start(answer_text(STREAM_HEAD, events));
    let result = Caller::default().post_order(bed.caller_addr(0), None, events);
    assert_eq!(result, CallResult::Whole { release: String::new() });
    bed.stop();
}

/// A whole answer, kept for the rest of the test process.
fn answer_text(head: &str, body: &str) -> &'static str {
    Box::leak(format!("{head}{body}").into_boxed_str())
}
