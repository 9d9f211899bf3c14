//! Tests that a process that was suspended (SIGSTOP) does not act on outdated state after it
//! resumes.

mod common;

use std::time::Duration;

use common::{
    Process,
    fleet::{Fleet, wait_until},
};
use rustix::process::{Pid, Signal, kill_process};
use testbed::{CALLER_KEY, CallResult, Caller};

fn send_signal(process: &Process, signal: Signal) {
    kill_process(Pid::from_child(&process.child), signal).unwrap();
}

/// Sends an order with a deadline; returns the HTTP status and the `x-outcome` header.
fn send_order(fleet: &Fleet, body: &str, deadline: Duration) -> (u16, String) {
    let response = net::unpooled_client(Duration::from_secs(30))
        .post(format!("http://{}/orders/orders", fleet.callers()))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .header("x-deadline-ms", deadline.as_millis().to_string())
        .send(body)
        .unwrap();
    let outcome = response.headers().get("x-outcome").map(|v| v.to_str().unwrap().to_owned());
    (response.status().as_u16(), outcome.unwrap_or_default())
}

/// The order's deadline passes while the agent is suspended; it must not run the order afterwards.
#[test]
fn a_resumed_agent_does_not_run_an_expired_request() {
    let fleet = Fleet::start("pause-agent");
    send_signal(&fleet.agents[2], Signal::STOP);
    let response = send_order(&fleet, "late", Duration::from_secs(2));
    // Only the suspended agent knows whether the order ran, so the entry may answer `unknown`.
    assert!(response.1 == "unknown" || response.1 == "not-run", "{response:?}");
    std::thread::sleep(Duration::from_secs(4));
    send_signal(&fleet.agents[2], Signal::CONT);
    let caller = Caller::default();
    let complete = CallResult::Whole { release: String::new() };
    wait_until("the service", || caller.post_order(fleet.callers(), None, "after") == complete);
    assert_eq!(fleet.plain.run_counts().get("late"), None);
}

/// The entry's view of the endpoints is outdated after it resumes; every request must still
/// succeed.
#[test]
fn a_resumed_entry_refreshes_endpoint_state_before_it_sends() {
    let mut fleet = Fleet::start("pause-entry");
    send_signal(&fleet.entry, Signal::STOP);
    // While the entry is suspended, one endpoint leaves and the other loses its weights.
    send_signal(&fleet.agents[0], Signal::TERM);
    wait_until("exit of the agent", || fleet.agents[0].child.try_wait().unwrap().is_some());
    fleet.engines[1].crash();
    wait_until("weights", || fleet.engines[1].serving().is_some());
    send_signal(&fleet.entry, Signal::CONT);
    let complete = CallResult::Whole { release: "base@v1".into() };
    for n in 0..10 {
        let response = Caller::default().chat(fleet.callers(), &format!("woken {n}"), 5);
        assert_eq!(response, complete, "request {n}");
    }
}
