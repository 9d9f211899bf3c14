//! Malformed requests and callers that disconnect get a clear error and leave no request in progress.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use base::Rate;
use testbed::{CALLER_KEY, CallResult, Caller, Testbed, TestbedSettings};

const TIMEOUT: Duration = Duration::from_secs(30);

fn start(settings: TestbedSettings) -> Testbed {
    let settings = TestbedSettings { agents: 0, plain_services: 1, ..settings };
    let bed = Testbed::start(settings).unwrap();
    bed.wait_until("endpoints", TIMEOUT, |bed| {
        let status = bed.status(bed.entries[0].1.control()).unwrap();
        status.endpoints.iter().filter(|row| row.state == "ready").count() == 1
    })
    .unwrap();
    bed
}

/// Sends `text` unchanged and returns the start of the response.
fn send_raw(entry: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(entry).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(text.as_bytes()).unwrap();
    let mut answer = vec![0; 4096];
    let length = stream.read(&mut answer).unwrap();
    String::from_utf8_lossy(&answer[..length]).into_owned()
}

fn post(path: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: \
         {length}\r\n{headers}\r\n{body}"
    )
}

/// Checks that no request is in progress and that the entry still serves.
fn assert_clean(bed: &mut Testbed) {
    let control = bed.entries[0].1.control();
    bed.wait_until("no request", TIMEOUT, |bed| bed.status(control).unwrap().in_flight == 0)
        .unwrap();
    let answer = Caller::default().post_order(bed.caller_addr(0), None, "last");
    assert_eq!(answer, CallResult::Whole { release: String::new() });
    let plain = bed.agents[0].plain_service.as_ref().unwrap().run_counts();
    assert_eq!(plain.into_iter().collect::<Vec<_>>(), [("last".to_owned(), 1)]);
    bed.stop();
}

#[test]
fn malformed_requests_get_a_clear_error() {
    let mut bed = start(TestbedSettings::default());
    let entry = bed.caller_addr(0);
    let key = format!("authorization: Bearer {CALLER_KEY}\r\n");
    let with = |header: &str| format!("{key}{header}\r\n");
    let huge = format!("POST /orders/x HTTP/1.1\r\ncontent-length: {}\r\n{key}\r\n", 1u64 << 60);
    let cases = [
        (post("/orders/orders", "", "a"), "401", "send Authorization"),
        (post("/orders/orders", "authorization: Bearer x\r\n", "a"), "401", "use a key"),
        (post("/", &key, "a"), "404", "use /SERVICE/PATH"),
        (post("/or ders/x", &key, "a"), "400", ""),
        (post("/nothing/x", &key, "a"), "404", "check the path"),
        (post("/orders/orders", &with("x-deadline-ms: soon"), "a"), "400", "not a number"),
        (post("/orders/orders", &with("idempotency-key: a b"), "a"), "400", "Idempotency-Key"),
        (post("/orders/orders", &key, &"x".repeat((4 << 20) + 1)), "413", "send less"),
        (huge, "413", "send less"),
        ("nonsense\r\n\r\n".to_owned(), "400", ""),
    ];
    for (text, status, message) in cases {
        let answer = send_raw(entry, &text);
        let line = &text[..text.len().min(60)];
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{line:?}: {answer}");
        assert!(answer.contains(message), "{line:?}: {answer}");
    }
    assert_clean(&mut bed);
}

#[test]
fn callers_that_disconnect_mid_request_leave_nothing_behind() {
    let mut bed = start(TestbedSettings::default());
    let entry = bed.caller_addr(0);
    let key = format!("authorization: Bearer {CALLER_KEY}\r\n");
    let text = post("/orders/orders", &key, &"x".repeat(100_000));
    for cut in [10, 80, text.len() / 2, text.len() - 1] {
        let mut stream = TcpStream::connect(entry).unwrap();
        stream.write_all(&text.as_bytes()[..cut]).unwrap();
    }
    assert_clean(&mut bed);
}

#[test]
fn a_caller_over_its_rate_gets_retry_after() {
    let mut bed = start(TestbedSettings { request_rate: Rate(0.1), ..TestbedSettings::default() });
    let entry = bed.caller_addr(0);
    let key = format!("authorization: Bearer {CALLER_KEY}\r\n");
    let answers: Vec<String> =
        (0..50).map(|_| send_raw(entry, &post("/orders/orders", &key, "a"))).collect();
    let refused = answers.iter().filter(|a| a.starts_with("HTTP/1.1 429"));
    let is_complete =
        |a: &&String| a.to_lowercase().contains("retry-after: ") && a.contains("not-run");
    assert!(refused.clone().count() > 40, "{answers:?}");
    assert!(refused.clone().all(|answer| is_complete(&answer)), "{answers:?}");
    let control = bed.entries[0].1.control();
    assert_eq!(bed.status(control).unwrap().in_flight, 0);
    bed.stop();
}
