//! A small deployment of one zone: the store, the origin, runners with an engine, and the project's processes.

use std::{io, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use crate::{
    cases::{config, talk_request, talk_route, talk_service},
    engine::Engine,
    load::Load,
    process::{Network, Process, is_ready, wait_until},
    record::Record,
    store::Store,
    weights::{MODEL, Origin},
};

const GATEWAYS: u8 = 2;
/// Time in which all gateways become ready.
const START_TIME: Duration = Duration::from_secs(10);

pub struct Fleet {
    pub store: Store,
    pub origin: Origin,
    pub engines: Vec<Arc<Engine>>,
    /// The stagers in the order of the engines, then the gateways.
    pub processes: Vec<Process>,
    /// The configuration in force.
    pub config: String,
    /// Addresses of the gateways for callers.
    callers: Vec<SocketAddr>,
    record: Record,
}

impl Fleet {
    /// Starts as many engines, which hold version 1, with a stager each, and the gateways.
    pub fn start(dir: &Path, sides: u8, record: &Record) -> io::Result<Fleet> {
        let network = Network::new(dir)?;
        let store = Store::default();
        let origin = Origin::start(network.ip(2), record)?;
        let services = format!("{},{}", talk_service(), origin.service());
        let config = config(&talk_route(), &services);
        store.put("op/config", Some(&config));
        let (mut processes, mut engines) = (Vec::new(), Vec::new());
        for n in 0..sides {
            let ip = network.ip(100 + n);
            let engine = Engine::start(&format!("i-talk{n}"), ip, &store, record)?;
            let (store_addr, _) = store.listen(network.ip(1))?;
            processes.push(network.stager(n, store_addr, engine.addr)?);
            engines.push(engine);
        }
        let (mut callers, mut ready) = (Vec::new(), Vec::new());
        for n in 0..GATEWAYS {
            let (store_addr, _) = store.listen(network.ip(1))?;
            let (process, callers_addr, ready_addr) = network.gateway(n, store_addr)?;
            processes.push(process);
            callers.push(callers_addr);
            ready.push(ready_addr);
        }
        let record = record.clone();
        let mut fleet = Fleet { store, origin, engines, processes, config, callers, record };
        fleet.name_version(1);
        fleet.start_processes()?;
        match wait_until(START_TIME, || ready.iter().all(|addr| is_ready(*addr))) {
            true => Ok(fleet),
            false => Err(io::Error::other("the gateways are not ready")),
        }
    }

    pub fn start_processes(&mut self) -> io::Result<()> {
        self.processes.iter_mut().try_for_each(Process::start)
    }

    pub fn kill_processes(&mut self) {
        self.processes.iter_mut().for_each(Process::end);
    }

    /// Names a version of the weights, as the operator does.
    pub fn name_version(&self, version: u64) {
        let text = format!(r#"{{"model":"{MODEL}","version":{version}}}"#);
        self.store.put(&format!("op/version/{MODEL}"), Some(&text));
        self.record.line(format!("named    version={version}"));
    }

    /// Number of engines that hold a version.
    pub fn loaded_count(&self, version: u64) -> usize {
        self.engines.iter().filter(|engine| engine.version() == Some(version)).count()
    }

    /// Sends requests to both gateways by turns.
    pub fn load(&self, interval: Duration) -> Load {
        let callers = self.callers.clone();
        let choose = move |client: u64| {
            let gateway = client as usize % callers.len();
            (gateway, callers[gateway])
        };
        Load::start(interval, Arc::new(choose), talk_request, &self.record)
    }
}
