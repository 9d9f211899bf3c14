//! All machines lose power, and after that the origin spoils one character of one manifest.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::{Arc, atomic::Ordering::SeqCst},
    thread,
    time::Duration,
};

use crate::{
    Verdict,
    cases::{config, talk_request, talk_route, talk_service},
    engine::Engine,
    load::{Attempt, Load, Seen},
    process::{Network, is_ready, wait_until},
    record::Record,
    store::Store,
    weights::{MODEL, Origin},
};

const GATEWAYS: u8 = 2;
const SIDES: u8 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are served before the final fault.
const TIME_BEFORE: Duration = Duration::from_secs(8);
const DOWN_TIME: Duration = Duration::from_millis(1200);
const RECOVERY_MS: u64 = 12_000;
/// Time for which requests are counted after the bound on recovery.
const TIME_AFTER: Duration = Duration::from_secs(45);
/// Share of requests that has to be served after the bound.
const MIN_SHARE: f64 = 0.25;

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let network = Network::new(dir)?;
    let store = Store::default();
    let origin = Origin::start(network.ip(2), record)?;
    let services = format!("{},{}", talk_service(), origin.service());
    let config = config(&talk_route(), &services);
    store.put("op/config", Some(&config));
    let name_version = |version: u64| {
        let text = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
        store.put(&format!("op/version/{MODEL}"), Some(&text));
        record.line(format!("named    version={version}"));
    };
    name_version(1);
    let (mut processes, mut engines) = (Vec::new(), Vec::new());
    for n in 0..SIDES {
        let engine = Engine::start(&format!("i-talk{n}"), network.ip(100 + n), &store, record)?;
        let (store_addr, _) = store.listen(network.ip(1))?;
        processes.push(network.stager(n, store_addr, engine.addr)?);
        engines.push(engine);
    }
    let mut addrs: Vec<(SocketAddr, SocketAddr)> = Vec::new();
    for n in 0..GATEWAYS {
        let (store_addr, _) = store.listen(network.ip(1))?;
        let (process, callers, ready) = network.gateway(n, store_addr)?;
        processes.push(process);
        addrs.push((callers, ready));
    }
    processes.iter_mut().try_for_each(|process| process.start())?;
    if !wait_until(Duration::from_secs(10), || addrs.iter().all(|(_, ready)| is_ready(*ready))) {
        return Err(io::Error::other("the gateways are not ready"));
    }
    let choose = Arc::new(move |client: u64| {
        let gateway = client as usize % addrs.len();
        (gateway, addrs[gateway].0)
    });
    let load = Load::start(REQUEST_INTERVAL, choose, talk_request, record);
    thread::sleep(Duration::from_secs(2));
    name_version(2);
    if !wait_until(Duration::from_secs(10), || engines.iter().all(|e| e.version() == Some(2))) {
        return Err(io::Error::other("version 2 is not loaded"));
    }
    thread::sleep(TIME_BEFORE);

    store.put("op/config", Some(&config.replacen("\"version\":1", "\"version\":2", 1)));
    let fault_ms = record.now();
    record.line("power    all machines lose power, right after a configuration was acknowledged");
    processes.iter_mut().for_each(|process| process.end());
    for (n, engine) in engines.iter().enumerate() {
        engine.lose_power(&format!("i-talk{}", engines.len() + n));
    }
    thread::sleep(DOWN_TIME);
    origin.corrupts_next.store(trouble, SeqCst);
    origin.answers.store(0, SeqCst);
    processes.iter_mut().try_for_each(|process| process.start())?;
    let back_ms = record.now();
    record.line("power    all machines are back");
    thread::sleep(Duration::from_millis(RECOVERY_MS) + TIME_AFTER);
    let attempts = load.stop();
    let loaded = engines.iter().filter(|engine| engine.version() == Some(2)).count();
    record.line(format!(
        "seen     {loaded} of {SIDES} runners hold version 2; the origin gave {} answers since",
        origin.answers.load(SeqCst)
    ));
    Ok(judge(&attempts, fault_ms, back_ms, record))
}

/// The rule is broken if less than a quarter of the requests is served later than the bound after the machines
/// are back, though a quarter or more was before the final fault.
fn judge(attempts: &[Attempt], fault_ms: u64, back_ms: u64, record: &Record) -> Verdict {
    let share = |word: &str, is_counted: &dyn Fn(&Attempt) -> bool| {
        let counted: Vec<&Attempt> = attempts.iter().filter(|a| is_counted(a)).collect();
        let served = counted.iter().filter(|a| a.seen == Seen::Status(200)).count();
        record.line(format!("seen     {served} of {} requests served {word}", counted.len()));
        served as f64 / counted.len().max(1) as f64
    };
    let before = share("before the final fault", &|a| a.ended_ms < fault_ms);
    let after = share("later than the bound after it", &|a| a.sent_ms > back_ms + RECOVERY_MS);
    match before >= MIN_SHARE && after < MIN_SHARE {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
