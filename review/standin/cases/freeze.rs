//! A machine freezes between the check of its staged pieces and the order to load them, and a piece turns bad
//! meanwhile.

use std::{
    io,
    net::SocketAddr,
    path::Path,
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    cases::{config, talk_request, talk_route, talk_service},
    engine::Engine,
    load::Load,
    process::{Network, SIGCONT, SIGSTOP, is_ready, wait_until},
    record::Record,
    store::Store,
    weights::{MODEL, Origin, PIECES},
};

const GATEWAYS: u8 = 2;
/// Machines beside runners. One of all nine freezes.
const SIDES: u8 = 7;
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);
const FROZEN: Duration = Duration::from_secs(4);
/// Time from the begin of the freeze until a piece turns bad.
const ROT_DELAY: Duration = Duration::from_millis(200);
const TIME_AFTER: Duration = Duration::from_secs(8);
/// Time for the answer to the last read of a piece to arrive.
const ANSWER_TIME: Duration = Duration::from_millis(5);

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let network = Network::new(dir)?;
    let store = Store::default();
    let origin = Origin::start(network.ip(2), record)?;
    let services = format!("{},{}", talk_service(), origin.service());
    store.put("op/config", Some(&config(&talk_route(), &services)));
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
    thread::sleep(Duration::from_secs(3));
    name_version(2);
    // The first machine that has checked all of its pieces freezes.
    let checking = wait_for(|| engines.iter().position(|e| e.checked_count() >= PIECES))?;
    thread::sleep(ANSWER_TIME);
    let (process, engine) = (&processes[checking], &engines[checking]);
    if trouble {
        process.signal(SIGSTOP);
        record.line(format!("freeze   {} stands still", process.name));
        thread::sleep(ROT_DELAY);
        engine.spoil(0);
        thread::sleep(FROZEN - ROT_DELAY);
        process.signal(SIGCONT);
        record.line(format!("freeze   {} goes on", process.name));
    }
    thread::sleep(TIME_AFTER);
    let attempts = load.stop();
    let tokens = engines.iter().map(|engine| engine.spoilt_runs()).sum::<u32>();
    record
        .line(format!("seen     {} requests sent, {tokens} ran on spoilt weights", attempts.len()));
    Ok(if tokens > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits until `check` finds something.
fn wait_for<T>(check: impl Fn() -> Option<T>) -> io::Result<T> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Some(found) = check() {
            return Ok(found);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err(io::Error::other("no machine checks its staged pieces"))
}
