//! End to end: a rollout, a streamed completion, a call to a plain service, and refused requests.

use std::{net::SocketAddr, time::Duration};

use base::ByteSize;
use testbed::{CallResult, Caller, Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(30);

/// The metrics of all processes of the testbed, which share one recorder.
fn metrics(entry: SocketAddr) -> String {
    let client = net::unpooled_client(TIMEOUT);
    let mut response = client.get(format!("http://{entry}/metrics")).call().unwrap();
    response.body_mut().read_to_string().unwrap()
}

#[test]
fn a_rollout_serves_requests() {
    let settings = TestbedSettings { agents: 3, plain_services: 1, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    let weights = Weights::generate("v1", ByteSize(1 << 20), ByteSize(64 << 10), 1);
    bed.add_version(&weights);
    bed.roll_out("v1", 3, 2);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == 3).unwrap();
    let caller = Caller::default();
    let entry = bed.caller_addr(0);
    let answer = caller.chat(entry, "hello", 10);
    assert_eq!(answer, CallResult::Whole { release: "base@v1".into() });
    let answer = caller.post_order(entry, None, "two plates");
    assert_eq!(answer, CallResult::Whole { release: String::new() });
    assert_eq!(bed.agents[3].plain_service.as_ref().unwrap().run_counts()["two plates"], 1);
    let unauthorized = Caller::new("unknown").chat(entry, "hello", 10);
    assert_eq!(unauthorized, CallResult::Refused { status: 401, outcome: "not-run".into() });
    let text = metrics(entry);
    for line in [
        "carawaypaddle_requests_total{outcome=\"answered\"} 2",
        "carawaypaddle_requests_total{outcome=\"not-run\"} 1",
        "carawaypaddle_attempts_total 2",
        "carawaypaddle_orders_total{order=\"activate\",accepted=\"true\"} 3",
        "carawaypaddle_first_byte_seconds_count 2",
    ] {
        assert!(text.contains(line), "{line}: {text}");
    }
    assert!(bed.origin.bytes_sent() <= 1 << 20);
    bed.stop();
}

#[test]
fn an_entry_shows_an_endpoint_that_leaves() {
    let settings = TestbedSettings { agents: 0, plain_services: 2, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    let control = bed.entries[0].1.control();
    let has_rows = |bed: &Testbed, state: &str, count: usize| {
        let rows = bed.status(control).unwrap().endpoints;
        rows.iter().filter(|row| row.state == state).count() == count
    };
    bed.wait_until("ready", TIMEOUT, |bed| has_rows(bed, "ready", 2)).unwrap();
    bed.agents[0].agent.as_ref().unwrap().drain();
    bed.wait_until("leaving", TIMEOUT, |bed| has_rows(bed, "leaving", 1)).unwrap();
    assert!(has_rows(&bed, "ready", 1));
    bed.stop();
}
