//! Case 9: a runner leaves and says so in all its answers, while the store turns one gateway away.
//!
//! Judged is the rule DRAIN of the news: a request that a client sent later than `drain_ms` after a gateway had
//! passed on an answer with `Server-Leaving` must not reach that runner from that gateway.

use std::{
    net::Ipv4Addr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    process::{Process, Record, TempDir, free_peer_port, free_port, gateway_settings, machine_ip},
    runner::{Runner, Seen, run_client},
    store::Store,
};

const SERVICE: &str = "order-desk";
const DRAIN_MS: u64 = 2000;
const WORK: Duration = Duration::from_millis(150);
const CLIENTS_PER_GATEWAY: usize = 4;

/// Returns the exit code.
pub fn run(record: Arc<Record>, has_trouble: bool) -> i32 {
    let dir = TempDir::create();
    let store = Store::default();
    let seen: Arc<Seen> = Arc::default();
    let runners: Vec<Runner> = ["a", "b", "c"]
        .into_iter()
        .enumerate()
        .map(|(n, zone)| {
            let ip = machine_ip(20 + n as u8);
            Runner::start(&format!("i-{n}"), ip, zone, WORK, &seen, &record)
        })
        .collect();
    for runner in &runners {
        runner.publish(&store, SERVICE, "ready", 1);
    }
    store.put("op/config", Some(CONFIG));
    let ips: Vec<Ipv4Addr> = (0..3).map(|n| machine_ip(10 + n)).collect();
    let peer_port = free_peer_port(ips[0]);
    let seeds: Vec<String> = ips.iter().map(|ip| format!("{ip}:{}", peer_port - 1)).collect();
    let mut paths = Vec::new();
    let mut gateways = Vec::new();
    for (n, (ip, zone)) in ips.iter().zip(["a", "b", "c"]).enumerate() {
        let path = store.open_path((machine_ip(1), free_port(machine_ip(1))).into());
        let name = format!("gateway-{n}");
        let (settings, addrs) =
            gateway_settings(&name, *ip, zone, peer_port, &seeds.join(","), path.addr);
        gateways.push((Process::start("gateway", &settings, &dir.0, &name), addrs));
        paths.push(path);
    }
    for (_, addrs) in &gateways {
        if !crate::wait_until_ready(addrs.ready) {
            record.line("a gateway is not ready in time");
            return 2;
        }
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (n, (_, addrs)) in gateways.iter().enumerate() {
        for client in 0..CLIENTS_PER_GATEWAY {
            let (stop, seen, record) = (stop.clone(), seen.clone(), record.clone());
            let (name, addr) = (format!("c{n}{client}"), addrs.callers);
            // Each at a pace of its own.
            let pause = Duration::from_millis(25 + 23 * client as u64);
            clients.push(thread::spawn(move || {
                run_client(name, n, addr, pause, stop, seen, record);
            }));
        }
    }
    // Heartbeats, as they go on all the while.
    let beats = |sequence: u64, leaving: bool| {
        for (n, runner) in runners.iter().enumerate() {
            match (n, leaving) {
                (0, true) => {}
                _ => runner.publish(&store, SERVICE, "ready", sequence),
            }
        }
    };
    thread::sleep(Duration::from_millis(1200));
    beats(2, false);
    thread::sleep(Duration::from_millis(1200));
    if has_trouble {
        record.line("the store turns gateway-0 away: it gets no response");
        paths[0].is_silent.store(true, Ordering::SeqCst);
    }
    thread::sleep(Duration::from_millis(300));
    // The planned shutdown of a runner: it reports it, and the store accepts that.
    let leaver = &runners[0];
    leaver.is_leaving.store(true, Ordering::SeqCst);
    leaver.publish(&store, SERVICE, "draining", 2);
    record.line("runner i-0 leaves; the store has accepted its report");
    thread::sleep(Duration::from_millis(1200));
    beats(3, true);
    thread::sleep(Duration::from_millis(1200));
    beats(4, true);
    // It has served on for `drain_ms` and a little longer.
    thread::sleep(Duration::from_millis(1600));
    store.put("servers/i-0", None);
    leaver.exit();
    let exited_ms = record.now_ms();
    record.line("runner i-0 has exited");
    thread::sleep(Duration::from_millis(600));
    for path in &paths {
        path.is_silent.store(false, Ordering::SeqCst);
    }
    record.line("the store serves all gateways");
    thread::sleep(Duration::from_millis(1000));
    stop.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    judge(&record, &seen, exited_ms)
}

fn judge(record: &Record, seen: &Seen, exited_ms: u64) -> i32 {
    let calls = seen.calls.lock().unwrap();
    let arrivals = seen.arrivals.lock().unwrap();
    let mut broken = 0;
    let mut lost = 0;
    for gateway in 0..3 {
        let passed = calls.iter().filter(|call| call.gateway == gateway && call.says_leaving);
        let Some(passed_ms) = passed.map(|call| call.ended_ms).min() else {
            record.line(&format!("gateway-{gateway} passed on no answer with Server-Leaving"));
            continue;
        };
        let late = calls.iter().filter(|call| {
            call.gateway == gateway && call.sent_ms > passed_ms + DRAIN_MS
        });
        let is_late: Vec<&str> = late.map(|call| call.id.as_str()).collect();
        let reached = arrivals
            .iter()
            .filter(|arrival| arrival.runner == "i-0" && is_late.contains(&arrival.id.as_str()));
        let reached: Vec<_> = reached.collect();
        let unanswered = reached.iter().filter(|arrival| {
            calls.iter().any(|call| call.id == arrival.id && call.status != 200)
        });
        let unanswered = unanswered.count();
        record.line(&format!(
            "gateway-{gateway} first passed on Server-Leaving at {passed_ms}; of the requests sent more \
             than {DRAIN_MS} ms later, {} reached the leaving runner, {unanswered} of them got no answer \
             of it (it exited at {exited_ms})",
            reached.len()
        ));
        broken += reached.len();
        lost += unanswered;
    }
    let served = calls.iter().filter(|call| call.status == 200).count();
    record.line(&format!("{} requests, {served} served", calls.len()));
    if served * 2 < calls.len() || calls.len() < 100 {
        record.line("result: the case could not run");
        return 2;
    }
    record.line(&format!(
        "result: {} ({broken} requests, {lost} lost)",
        if broken > 0 { "DRAIN is broken" } else { "DRAIN holds" }
    ));
    i32::from(broken > 0)
}

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-orders","host":"desk.example","path_prefix":"/orders/","kind":"unsafe","timeout_ms":4000,"target_latency_ms":300,"priority":2,"service":"order-desk","max_attempts":1,"allow_anonymous":true,"session_affinity":false,"resume_streams":false}],"services":[{"name":"order-desk","health_check_path":"/health","max_connections":100,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;
