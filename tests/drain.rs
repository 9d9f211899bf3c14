//! Tests that running processes interrupt no request when they shut down gracefully on SIGTERM.

mod common;

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    process::ExitStatus,
    thread::JoinHandle,
};

use common::{
    Process,
    fleet::{Fleet, wait_until},
};
use rustix::process::{Pid, Signal, kill_process};
use testbed::{CallResult, Caller};

/// Starts the graceful shutdown of a process that this test started.
fn terminate(process: &Process) {
    let pid = Pid::from_child(&process.child);
    kill_process(pid, Signal::TERM).unwrap();
}

/// Waits until the process exits.
fn wait_for_exit(process: &mut Process) -> ExitStatus {
    let mut status = None;
    wait_until("exit of the process", || {
        status = process.child.try_wait().unwrap();
        status.is_some()
    });
    status.unwrap()
}

fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).unwrap();
    response
}

/// Checks that each request got the expected response.
fn assert_expected(threads: Vec<JoinHandle<(CallResult, CallResult)>>) {
    for thread in threads {
        let (response, expected) = thread.join().unwrap();
        assert_eq!(response, expected);
    }
}

#[test]
fn a_draining_entry_completes_its_requests_and_refuses_new_ones() {
    let mut fleet = Fleet::start("drain-entry");
    let threads = fleet.start_load(8);
    terminate(&fleet.entry);
    wait_until("not ready", || get(fleet.callers(), "/readyz").starts_with("HTTP/1.1 503"));
    let refused = Caller::default().chat(fleet.callers(), "late", 1);
    assert_eq!(refused, CallResult::Refused { status: 503, outcome: "not-run".into() });
    assert_expected(threads);
    assert!(wait_for_exit(&mut fleet.entry).success());
    let runs = fleet.plain.run_counts();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn a_draining_agent_completes_its_requests_and_others_take_new_ones() {
    let mut fleet = Fleet::start("drain-agent");
    let threads = fleet.start_load(8);
    terminate(&fleet.agents[0]);
    terminate(&fleet.agents[2]);
    let complete = CallResult::Whole { release: "base@v1".into() };
    for n in 0..20 {
        let response = Caller::default().chat(fleet.callers(), &format!("after {n}"), 5);
        assert_eq!(response, complete, "request {n}");
    }
    assert_expected(threads);
    assert!(wait_for_exit(&mut fleet.agents[0]).success());
    assert!(wait_for_exit(&mut fleet.agents[2]).success());
    let runs = fleet.plain.run_counts();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
