//! Planned stops of real processes by SIGTERM cut no request.

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

/// Begins a planned stop of a process of this test.
fn terminate(process: &Process) {
    let pid = Pid::from_child(&process.child);
    kill_process(pid, Signal::TERM).unwrap();
}

fn wait(process: &mut Process) -> ExitStatus {
    let mut status = None;
    wait_until("the end of the process", || {
        status = process.child.try_wait().unwrap();
        status.is_some()
    });
    status.unwrap()
}

fn get(addr: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(addr).unwrap();
    let request = format!("GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).unwrap();
    answer
}

fn assert_whole(threads: Vec<JoinHandle<(CallResult, CallResult)>>) {
    for thread in threads {
        let (answer, expected) = thread.join().unwrap();
        assert_eq!(answer, expected);
    }
}

#[test]
fn a_stopped_entry_ends_its_requests_and_refuses_new_ones() {
    let mut fleet = Fleet::start("drain-entry");
    let threads = fleet.load(8);
    terminate(&fleet.entry);
    wait_until("not ready", || get(fleet.callers(), "/readyz").starts_with("HTTP/1.1 503"));
    let refused = Caller::default().chat(fleet.callers(), "late", 1);
    assert_eq!(refused, CallResult::Refused { status: 503, outcome: "not-run".into() });
    assert_whole(threads);
    assert!(wait(&mut fleet.entry).success());
    let runs = fleet.plain.run_counts();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

#[test]
fn a_stopped_agent_ends_its_requests_and_others_take_the_new_ones() {
    let mut fleet = Fleet::start("drain-agent");
    let threads = fleet.load(8);
    terminate(&fleet.agents[0]);
    terminate(&fleet.agents[2]);
    let whole = CallResult::Whole { release: "base@v1".into() };
    for n in 0..20 {
        let answer = Caller::default().chat(fleet.callers(), &format!("after {n}"), 5);
        assert_eq!(answer, whole, "request {n}");
    }
    assert_whole(threads);
    assert!(wait(&mut fleet.agents[0]).success());
    assert!(wait(&mut fleet.agents[2]).success());
    let runs = fleet.plain.run_counts();
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}
