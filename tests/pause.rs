//! Processes that are paused and wake up late act on nothing that they knew before.

mod common;

use std::time::Duration;

use common::{
    Process,
    fleet::{Fleet, wait_until},
};
use rustix::process::{Pid, Signal, kill_process};
use testbed::{CALLER_KEY, CallResult, Caller};

fn signal(process: &Process, signal: Signal) {
    kill_process(Pid::from_child(&process.child), signal).unwrap();
}

/// Sends an order that its caller waits for only so long; gives status and outcome.
fn order(fleet: &Fleet, body: &str, deadline: Duration) -> (u16, String) {
    let response = net::single(Duration::from_secs(30))
        .post(format!("http://{}/orders/orders", fleet.callers()))
        .header("authorization", format!("Bearer {CALLER_KEY}"))
        .header("x-deadline-ms", deadline.as_millis().to_string())
        .send(body)
        .unwrap();
    let outcome = response.headers().get("x-outcome").map(|v| v.to_str().unwrap().to_owned());
    (response.status().as_u16(), outcome.unwrap_or_default())
}

#[test]
fn an_agent_that_wakes_late_runs_nothing_that_nobody_waits_for() {
    let fleet = Fleet::start("pause-agent");
    signal(&fleet.agents[2], Signal::STOP);
    let answer = order(&fleet, "late", Duration::from_secs(2));
    // Only the agent knows whether it runs, so the caller is told that nobody knows.
    assert!(answer.1 == "unknown" || answer.1 == "not-run", "{answer:?}");
    std::thread::sleep(Duration::from_secs(4));
    signal(&fleet.agents[2], Signal::CONT);
    let caller = Caller::default();
    let whole = CallResult::Whole { release: String::new() };
    wait_until("the service", || caller.post_order(fleet.callers(), None, "after") == whole);
    assert_eq!(fleet.plain.run_counts().get("late"), None);
}

#[test]
fn an_entry_that_wakes_late_asks_again_before_it_sends() {
    let mut fleet = Fleet::start("pause-entry");
    signal(&fleet.entry, Signal::STOP);
    // While it sleeps, one endpoint leaves and the other loses its weights.
    signal(&fleet.agents[0], Signal::TERM);
    wait_until("the end of the agent", || fleet.agents[0].child.try_wait().unwrap().is_some());
    fleet.engines[1].crash();
    wait_until("weights", || fleet.engines[1].serving().is_some());
    signal(&fleet.entry, Signal::CONT);
    let whole = CallResult::Whole { release: "base@v1".into() };
    for n in 0..10 {
        let answer = Caller::default().chat(fleet.callers(), &format!("woken {n}"), 5);
        assert_eq!(answer, whole, "request {n}");
    }
}
