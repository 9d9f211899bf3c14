//! `carawaypaddle explain` against a running gateway: what it prints, and how it answers bad input.

#[path = "../platform/tests/standin/gateways.rs"]
mod gateways;
#[path = "../platform/tests/standin/mod.rs"]
mod standin;

use std::{
    net::SocketAddr,
    process::{Command, Output},
    time::Duration,
};

use gateways::start_gateways;
use standin::{endpoint_entry, run, wait_until};
use tokio::task::spawn_blocking;

/// Time within which a configuration must be in force.
const BOUND: Duration = Duration::from_secs(2);
/// The endpoints' addresses; nothing is sent there.
const ADDR: &str = "127.73.61.200:9";

/// Runs the command with these arguments.
async fn explain(addr: SocketAddr, args: &[&'static str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_carawaypaddle"));
    command.args(["explain", "--at", &addr.to_string()]).args(args);
    spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

#[test]
fn an_operator_sees_where_a_request_would_go_and_why_not_elsewhere() {
    run(async {
        let (store, gateways) = start_gateways(61, &["a"], BOUND).await;
        for (id, state) in [("i-1", "ready"), ("i-2", "draining")] {
            let entry = endpoint_entry("plain", ADDR.parse().unwrap(), state, "");
            store.put(&format!("servers/{id}"), Some(entry.as_bytes()));
        }
        let addr = gateways[0].peer_addr;
        let args = ["--host", "h", "--path", "/v1/x?y", "--tokens", "800,200"];
        let mut printed = String::new();
        wait_until("both endpoints are explained", async || {
            printed = text(&explain(addr, &args).await.stdout);
            printed.contains("i-1") && printed.contains("i-2")
        })
        .await;
        assert!(printed.contains("route      r1"), "{printed}");
        assert!(printed.contains("service plain, weight 1: sent to i-1"), "{printed}");
        assert!(printed.contains("excluded: leaving"), "{printed}");

        let json = explain(addr, &[&args[..], &["--json"]].concat()).await;
        let answer: peering::ExplainAnswer = serde_json::from_slice(&json.stdout).unwrap();
        let endpoints = &answer.services[0].endpoints;
        assert!(endpoints[0].suitability.is_some_and(|suitability| suitability.meets_objective));
        assert_eq!(endpoints[1].excluded.as_deref(), Some("leaving"));
    });
}

#[test]
fn bad_input_gets_an_error_that_says_what_is_wrong() {
    run(async {
        let (_store, gateways) = start_gateways(62, &["a"], BOUND).await;
        let addr = gateways[0].peer_addr;
        for (args, error) in [
            (&["--host", "h", "--path", "/none"][..], "status 404 Not Found: no_route"),
            (&["--host", "h", "--path", "/v1/", "--workspace", "w"], "no API key belongs to"),
        ] {
            let output = explain(addr, args).await;
            assert_eq!(output.status.code(), Some(1), "{args:?}");
            assert!(text(&output.stderr).contains(error), "{}", text(&output.stderr));
        }
        let closed = SocketAddr::new(addr.ip(), standin::free_port());
        let output = explain(closed, &["--host", "h", "--path", "/"]).await;
        assert!(text(&output.stderr).contains("no response; check"), "{}", text(&output.stderr));
    });
}
