//! A runner leaves and says so in its answers, while the store turns the gateways away.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    path::Path,
    sync::{
        Arc,
        atomic::Ordering::{Relaxed, SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cases::{DESK_SERVICE, config, order_request, order_route, talk_route, talk_service},
    engine::Engine,
    load::{Attempt, Load, Seen},
    process::{Network, is_ready, wait_until},
    record::Record,
    runner::Runner,
    store::{Gate, Store},
    weights::Origin,
};

const GATEWAYS: u8 = 2;
/// Machines beside runners with an engine. The gateways are a third of all machines.
const SIDES: u8 = 4;
const RUNNERS: u8 = 3;
const ORDER_INTERVAL: Duration = Duration::from_millis(25);
const MEAN_WORK: Duration = Duration::from_millis(60);
/// The bound for draining, and how much longer a runner that leaves serves.
const DRAIN_MS: u64 = 2000;
const LINGER: Duration = Duration::from_millis(2500);
/// Time for which the store turns the gateways away, and the moment in it at which the runner leaves.
const TURNED_AWAY: Duration = Duration::from_secs(9);
const LEAVE_AFTER: Duration = Duration::from_secs(1);
const ROUNDS: u8 = 5;
const ROUND_TIME: Duration = Duration::from_secs(15);

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let network = Network::new(dir)?;
    let store = Store::default();
    let origin = Origin::start(network.ip(2), record)?;
    let routes = format!("{},{}", order_route(), talk_route());
    let services = format!("{DESK_SERVICE},{},{}", talk_service(), origin.service());
    store.put("op/config", Some(&config(&routes, &services)));
    let mut processes = Vec::new();
    for n in 0..SIDES {
        let engine = Engine::start(&format!("i-talk{n}"), network.ip(100 + n), &store, record)?;
        let (store_addr, _) = store.listen(network.ip(1))?;
        let mut process = network.stager(n, store_addr, engine.addr)?;
        process.start()?;
        processes.push(process);
    }
    let mut runners = Vec::new();
    for n in 0..RUNNERS {
        let id = format!("i-desk{n}");
        runners.push(Runner::start(&id, network.ip(50 + n), "desk", MEAN_WORK, &store, record)?);
    }
    let mut gates: Vec<Gate> = Vec::new();
    let mut addrs: Vec<(SocketAddr, SocketAddr)> = Vec::new();
    for n in 0..GATEWAYS {
        let (store_addr, gate) = store.listen(network.ip(1))?;
        let (mut process, callers, ready) = network.gateway(n, store_addr)?;
        process.start()?;
        processes.push(process);
        gates.push(gate);
        addrs.push((callers, ready));
    }
    if !wait_until(Duration::from_secs(10), || addrs.iter().all(|(_, ready)| is_ready(*ready))) {
        return Err(io::Error::other("the gateways are not ready"));
    }
    let choose = Arc::new(move |client: u64| {
        let gateway = client as usize % addrs.len();
        (gateway, addrs[gateway].0)
    });
    let load = Load::start(ORDER_INTERVAL, choose, order_request, record);
    thread::sleep(Duration::from_secs(4));
    for round in 0..ROUNDS {
        let until = Instant::now() + ROUND_TIME;
        // The runner that takes over starts first.
        let (next, ip) = (RUNNERS + round, network.ip(50 + RUNNERS + round));
        runners.push(Runner::start(
            &format!("i-desk{next}"),
            ip,
            "desk",
            MEAN_WORK,
            &store,
            record,
        )?);
        thread::sleep(Duration::from_secs(1));
        set_gates(&gates, trouble, record);
        let opens_at = Instant::now() + TURNED_AWAY;
        runners.iter().for_each(|runner| runner.run_count.store(0, Relaxed));
        thread::sleep(LEAVE_AFTER);
        // With few requests, all may go to the same runner. It is the one that leaves.
        runners.sort_by_key(|runner| runner.run_count.load(Relaxed));
        let Some(runner) = runners.pop() else { break };
        runner.leave();
        thread::sleep(Duration::from_millis(DRAIN_MS) + LINGER);
        runner.end();
        thread::sleep(opens_at.saturating_duration_since(Instant::now()));
        set_gates(&gates, false, record);
        thread::sleep(until.saturating_duration_since(Instant::now()));
    }
    let attempts = load.stop();
    Ok(judge(&attempts, record))
}

fn set_gates(gates: &[Gate], closed: bool, record: &Record) {
    gates.iter().for_each(|gate| gate.store(closed, SeqCst));
    let word = if closed { "turns the gateways away" } else { "serves all machines" };
    record.line(format!("store    {word}"));
}

/// The rule is broken by an order that reaches a runner from a gateway and that its client sent later than
/// the bound after that gateway had passed on an answer in which the runner says that it leaves.
fn judge(attempts: &[Attempt], record: &Record) -> Verdict {
    let mut passed: HashMap<(usize, &str), u64> = HashMap::new();
    for attempt in attempts {
        if let Some(runner) = &attempt.leaving {
            let at = passed.entry((attempt.gateway, runner)).or_insert(attempt.ended_ms);
            *at = attempt.ended_ms.min(*at);
        }
    }
    let (mut late, mut lost) = (0, 0);
    for Attempt { id, gateway, sent_ms, seen, .. } in attempts {
        for run in record.runs(id) {
            let Some(told) = passed.get(&(*gateway, run.runner.as_str())) else { continue };
            if *sent_ms <= told + DRAIN_MS {
                continue;
            }
            late += 1;
            let is_lost = run.answered_ms.is_none();
            lost += u32::from(is_lost);
            record.line(format!(
                "broken   id={id} sent {} ms after frontend-{gateway} passed on that {} leaves, ran there{}; \
                 the client saw {seen:?}",
                sent_ms - told,
                run.runner,
                if is_lost { " and was cut by its end" } else { "" },
            ));
        }
    }
    let failed = attempts.iter().filter(|a| a.seen != Seen::Status(200)).count();
    record.line(format!(
        "seen     {} orders sent, {failed} without 200; {late} reached a runner too late, {lost} of them lost",
        attempts.len()
    ));
    if late > 0 { Verdict::Broken } else { Verdict::Held }
}
