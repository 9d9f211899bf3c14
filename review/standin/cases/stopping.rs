//! Gateways are stopped and started in turn while few requests come.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    balancer::Balancer,
    cases::{DESK_SERVICE, config, order_request, order_route},
    load::{Attempt, Load, Seen},
    process::{Network, Process, SIGKILL, SIGTERM, is_ready, wait_until},
    record::Record,
    runner::Runner,
    store::Store,
};

const GATEWAYS: u8 = 3;
const RUNNERS: u8 = 3;
/// Time between two orders; all gateways together get so many.
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
const MEAN_WORK: Duration = Duration::from_millis(60);
/// Time between the stops of two machines.
const STOP_GAP: Duration = Duration::from_secs(1);
/// Delay before a process that ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
const GRACE_PERIOD: Duration = Duration::from_secs(8);
/// Number of times that all machines are stopped in turn, and the time that one takes.
const ROUNDS: u32 = 10;
const ROUND_TIME: Duration = Duration::from_secs(10);

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let network = Network::new(dir)?;
    let store = Store::default();
    store.put("op/config", Some(&config(&order_route(), DESK_SERVICE)));
    for n in 0..RUNNERS {
        let id = format!("i-desk{n}");
        Runner::start(&id, network.ip(50 + n), "desk", MEAN_WORK, &store, record)?;
    }
    let mut gateways = Vec::new();
    let mut addrs: Vec<(SocketAddr, SocketAddr)> = Vec::new();
    for n in 0..GATEWAYS {
        let (store_addr, _) = store.listen(network.ip(1))?;
        let (mut process, callers, ready) = network.gateway(n, store_addr)?;
        process.start()?;
        gateways.push(Arc::new(Mutex::new(process)));
        addrs.push((callers, ready));
    }
    if !wait_until(Duration::from_secs(10), || addrs.iter().all(|(_, ready)| is_ready(*ready))) {
        return Err(io::Error::other("the gateways are not ready"));
    }
    let balancer = Balancer::start(&addrs, record);
    let choosing = balancer.clone();
    let choose = Arc::new(move |client| choosing.choose(client));
    let load = Load::start(ORDER_INTERVAL, choose, order_request, record);
    thread::sleep(Duration::from_secs(3));
    for _ in 0..ROUNDS {
        let until = Instant::now() + ROUND_TIME;
        if trouble {
            stop_in_turn(&gateways, record);
        }
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    let attempts = load.stop();
    balancer.stop();
    // A thread that restarts a process holds it too.
    for gateway in &gateways {
        gateway.lock().unwrap().end();
    }
    Ok(judge(&attempts, record))
}

fn stop_in_turn(gateways: &[Arc<Mutex<Process>>], record: &Record) {
    for gateway in gateways {
        gateway.lock().unwrap().signal(SIGTERM);
        record.line(format!("SIGTERM  {}", gateway.lock().unwrap().name));
        let (gateway, record) = (gateway.clone(), record.clone());
        thread::spawn(move || {
            let mut process = gateway.lock().unwrap();
            if !process.wait(GRACE_PERIOD) {
                process.signal(SIGKILL);
                process.wait(GRACE_PERIOD);
            }
            record.line(format!("exited   {}", process.name));
            thread::sleep(RESTART_DELAY);
            let _ = process.start();
        });
        thread::sleep(STOP_GAP);
    }
}

/// The rule is broken by an order that was passed on to a runner and whose connection then ended without a
/// complete answer, around a planned stop.
fn judge(attempts: &[Attempt], record: &Record) -> Verdict {
    let cuts: Vec<&Attempt> = attempts.iter().filter(|a| a.seen == Seen::Cut).collect();
    let mut lost = 0;
    for Attempt { id, gateway, ended_ms, .. } in &cuts {
        for run in record.runs(id) {
            lost += 1;
            record.line(format!(
                "broken   id={id} ran at {} from {} ms and frontend-{gateway} closed the connection \
                 at {ended_ms} ms without an answer",
                run.runner, run.began_ms
            ));
        }
    }
    let (sent, cut) = (attempts.len(), cuts.len());
    record.line(format!(
        "seen     {sent} orders sent, {cut} cut without an answer, {lost} of them ran"
    ));
    if lost > 0 { Verdict::Broken } else { Verdict::Held }
}
