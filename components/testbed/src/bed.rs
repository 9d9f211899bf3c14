//! The fleet.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use agent::Agent;
use anyhow::{Context, bail};
use audit::Entry as AuditEntry;
use base::{ByteRate, ByteSize, Digest, Permille, Rate, Revision, Timeout, VmId};
use entry::Entry;
use manifest::{
    CallRule, Manifest, Model, OriginBudget, Role, Rollout, Service, ServiceKind, VersionRef, Vm,
    VmList, VmState, Workspace,
};
use net::Peers;
use proto::{PeerClient, Status};
use settings::{
    AgentSettings, EndpointKind, EntrySettings, Fencing, PeerKey, PlatformSettings, RoutingPolicy,
    Settings, Strategy,
};
use standins::{
    BlobService, Engine, EngineCounts, EngineSettings, PlainService, ValueService, manifest_value,
    vms_value,
};
use tokio::runtime::Runtime;

use crate::{Weights, publish_weights};

/// The key of the testbed's workspace.
pub const CALLER_KEY: &str = "caller-key-of-the-testbed";
const PEER_KEY: &str = "peer-key-of-the-testbed";
/// Threads for the JSON-RPC of all processes of the testbed.
const RPC_THREADS: usize = 4;

/// Size and speed of a testbed.
#[derive(Debug, Clone, PartialEq)]
pub struct TestbedSettings {
    /// Entries.
    pub entries: usize,
    /// Agents beside model engines.
    pub agents: usize,
    /// Agents beside plain services.
    pub plain_services: usize,
    /// Availability zones, each in a region of its own.
    pub zones: usize,
    /// Link of each VM.
    pub link_rate: ByteRate,
    /// Link of the origin.
    pub origin_rate: ByteRate,
    /// Chunk memory of each agent.
    pub chunk_memory: ByteSize,
    /// How weights spread.
    pub strategy: Strategy,
    /// Engines.
    pub engine: EngineSettings,
    /// Time of a call to a plain service.
    pub call_time: Duration,
    /// Time after a start for which an agent does not vouch for callers' idempotency keys.
    pub handover: Duration,
    /// Requests a second that the workspace may make.
    pub request_rate: Rate,
    /// How the entries pick endpoints.
    pub policy: RoutingPolicy,
    /// Endpoints that each entry uses for a service.
    pub subset: usize,
    /// Seed of all that is random in the stand-ins.
    pub seed: u64,
    /// Whether logs go to standard error.
    pub verbose: bool,
}

impl Default for TestbedSettings {
    fn default() -> TestbedSettings {
        TestbedSettings {
            entries: 1,
            agents: 2,
            plain_services: 0,
            zones: 1,
            link_rate: ByteRate(50_000_000),
            origin_rate: ByteRate(100_000_000),
            chunk_memory: ByteSize(256 << 20),
            strategy: AgentSettings::default().strategy,
            engine: EngineSettings::default(),
            call_time: Duration::from_millis(5),
            handover: Duration::from_secs(240),
            request_rate: Rate(100_000.0),
            policy: RoutingPolicy::default(),
            subset: EntrySettings::default().subset,
            seed: 1,
            verbose: false,
        }
    }
}

/// An agent and the engine beside it.
pub struct AgentVm {
    /// The VM as it is listed.
    pub vm: Vm,
    /// The agent; `None` once it is stopped.
    pub agent: Option<Agent>,
    /// The engine, for models.
    pub engine: Option<Engine>,
    /// The service, for plain services.
    pub plain_service: Option<PlainService>,
}

/// The fleet; dropping it stops the stand-ins.
pub struct Testbed {
    /// Its settings.
    pub settings: TestbedSettings,
    /// The configuration service and VM list.
    pub config: ValueService,
    /// The weight store, empty at first.
    pub store: BlobService,
    /// The origin.
    pub origin: BlobService,
    /// Agents.
    pub agents: Vec<AgentVm>,
    /// Entries with their VMs.
    pub entries: Vec<(Vm, Entry)>,
    /// The manifest as published last.
    pub manifest: Manifest,
    /// The VM list as published last.
    pub vms: VmList,
    /// Calls to the processes.
    pub peers: Peers,
    runtime: Runtime,
}

impl Testbed {
    /// Starts the stand-ins and all processes, and publishes the VM list and a manifest without
    /// rollouts.
    pub fn start(settings: TestbedSettings) -> anyhow::Result<Testbed> {
        let runtime = net::runtime(RPC_THREADS)?;
        let peers = Peers::new(runtime.handle().clone(), PeerKey::new(PEER_KEY));
        let mut bed = Testbed {
            config: ValueService::start()?,
            store: BlobService::start(settings.origin_rate, settings.seed)?,
            origin: BlobService::start(settings.origin_rate, settings.seed)?,
            agents: Vec::new(),
            entries: Vec::new(),
            manifest: first_manifest(&settings),
            vms: VmList::default(),
            peers,
            runtime,
            settings,
        };
        for i in 0..bed.settings.agents {
            bed.add_agent(&format!("model-{i}"), i)?;
        }
        for i in 0..bed.settings.plain_services {
            bed.add_plain_service(&format!("plain-{i}"), i)?;
        }
        for i in 0..bed.settings.entries {
            bed.add_entry(&format!("entry-{i}"), i)?;
        }
        bed.publish_vms();
        bed.publish_manifest();
        Ok(bed)
    }

    /// Starts an agent with a new model engine; `place` selects its zone. The VM list is not
    /// published.
    pub fn add_agent(&mut self, name: &str, place: usize) -> anyhow::Result<()> {
        let engine = Engine::start(self.settings.engine)?;
        let options = AgentSettings {
            endpoint: engine.addr(),
            fencing: if self.settings.engine.fencing { Fencing::Checked } else { Fencing::Ignored },
            link: self.settings.link_rate,
            memory: self.settings.chunk_memory,
            strategy: self.settings.strategy,
            slots: self.settings.engine.slots,
            ..AgentSettings::default()
        };
        let (vm, agent) = self.start_agent(name, place, Role::Model, options)?;
        self.agents.push(AgentVm {
            vm,
            agent: Some(agent),
            engine: Some(engine),
            plain_service: None,
        });
        Ok(())
    }

    /// Starts an agent with a new plain service named `orders`.
    pub fn add_plain_service(&mut self, name: &str, place: usize) -> anyhow::Result<()> {
        let plain = PlainService::start(self.settings.call_time)?;
        let service = id("orders");
        let options = AgentSettings {
            endpoint: plain.addr(),
            kind: EndpointKind::Plain,
            service: Some(id("orders")),
            link: self.settings.link_rate,
            handover: Timeout(self.settings.handover),
            ..AgentSettings::default()
        };
        let (vm, agent) = self.start_agent(name, place, Role::Plain(service), options)?;
        self.agents.push(AgentVm {
            vm,
            agent: Some(agent),
            engine: None,
            plain_service: Some(plain),
        });
        Ok(())
    }

    /// Starts an agent with `options` as the VM `name`.
    pub fn start_agent(
        &self,
        name: &str,
        place: usize,
        role: Role,
        options: AgentSettings,
    ) -> anyhow::Result<(Vm, Agent)> {
        let settings = Settings { agent: Some(options), ..self.process_settings(name, place) };
        let log = self.log(name, "agent");
        let agent = Agent::start(settings, self.runtime.handle(), log)?;
        let vm = self.vm(name, place, role, agent.control(), agent.data());
        Ok((vm, agent))
    }

    fn add_entry(&mut self, name: &str, place: usize) -> anyhow::Result<()> {
        let options = EntrySettings {
            callers: local(),
            policy: self.settings.policy,
            subset: self.settings.subset,
            ..EntrySettings::default()
        };
        let settings = Settings { entry: Some(options), ..self.process_settings(name, place) };
        let log = self.log(name, "entry");
        let entry = Entry::start(settings, self.runtime.handle(), telemetry::install(), log)?;
        let vm = self.vm(name, place, Role::Entry, entry.control(), entry.control());
        self.entries.push((vm, entry));
        Ok(())
    }

    fn log(&self, name: &str, role: &'static str) -> slog::Logger {
        if self.settings.verbose {
            telemetry::logger(name.to_owned(), role)
        } else {
            telemetry::quiet()
        }
    }

    fn vm(
        &self,
        name: &str,
        place: usize,
        role: Role,
        control: SocketAddr,
        data: SocketAddr,
    ) -> Vm {
        let place = place % self.settings.zones.max(1);
        Vm {
            id: id(name),
            zone: id(&format!("zone-{place}")),
            region: id(&format!("region-{place}")),
            role,
            state: VmState::Live,
            control,
            data,
        }
    }

    fn process_settings(&self, name: &str, place: usize) -> Settings {
        let place = place % self.settings.zones.max(1);
        Settings {
            vm: id(name),
            zone: id(&format!("zone-{place}")),
            region: id(&format!("region-{place}")),
            control: local(),
            data: local(),
            peer_key: PeerKey::new(PEER_KEY),
            platform: PlatformSettings {
                config: vec![self.config.addr()],
                vms: vec![self.config.addr()],
                store: self.store.addr(),
                origin: self.origin.addr(),
            },
            drain: Timeout(Duration::from_secs(20)),
            entry: None,
            agent: None,
        }
    }

    /// Publishes the VM list with all agents that run and all entries; states that were set in
    /// `vms` are kept.
    pub fn publish_vms(&mut self) {
        let running = self.agents.iter().filter(|slot| slot.agent.is_some()).map(|slot| &slot.vm);
        let entries = self.entries.iter().map(|(vm, _)| vm);
        self.vms.vms = running.chain(entries).cloned().collect();
        self.vms.revision = self.vms.revision.next();
        self.config.publish("vms", self.vms.revision.0, vms_value(&self.vms));
    }

    /// Publishes the manifest under its next revision.
    pub fn publish_manifest(&mut self) {
        self.manifest.revision = self.manifest.revision.next();
        let revision = self.manifest.revision.0;
        self.config.publish("manifest", revision, manifest_value(&self.manifest));
    }

    /// Publishes weights as a version of the model `base` at the origin.
    pub fn add_version(&mut self, weights: &Weights) {
        publish_weights(weights, &self.config, &self.origin);
        self.manifest.models[0].versions.push(weights.version.clone());
    }

    /// Rolls a version of the model `base` out to `replicas` VMs.
    pub fn roll_out(&mut self, version: &str, replicas: usize, floor: usize) {
        self.manifest.rollouts = vec![Rollout {
            id: id("assistant-main"),
            service: id("assistant"),
            workspace: id("counter"),
            model: VersionRef { id: id("base"), version: id(version) },
            adapter: None,
            replicas,
            floor,
            canary: 1,
            soak: Timeout(Duration::from_millis(300)),
            order: 0,
            regions: Vec::new(),
            avoid: Vec::new(),
        }];
        self.publish_manifest();
    }

    /// Engines that serve `release`, by their own statement.
    pub fn serving_count(&self, release: &str) -> usize {
        let engines = self.agents.iter().filter_map(|slot| slot.engine.as_ref());
        engines.filter(|engine| engine.serving().as_deref() == Some(release)).count()
    }

    /// Waits until `done` holds; fails after `timeout`.
    pub fn wait_until(
        &self,
        what: &str,
        timeout: Duration,
        mut done: impl FnMut(&Testbed) -> bool,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        while !done(self) {
            if start.elapsed() > timeout {
                bail!("{what}: not within {timeout:?}");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(start.elapsed())
    }

    /// Ends an agent without a farewell and takes its engine down with it; returns what the engine
    /// counted. The VM list is not published.
    pub fn kill_agent(&mut self, vm: &VmId) -> Option<EngineCounts> {
        let at = self.agents.iter().position(|slot| slot.vm.id == *vm)?;
        let slot = self.agents.remove(at);
        if let Some(agent) = &slot.agent {
            agent.kill();
        }
        slot.engine.map(|engine| engine.counts())
    }

    /// Asks a process for its state.
    pub fn status(&self, control: SocketAddr) -> anyhow::Result<Status> {
        let ask = |client| async move { PeerClient::status(&client).await };
        self.peers.ask(control, ask).context("status")
    }

    /// The audit trail of a process, oldest entry first.
    pub fn audit_entries(&self, control: SocketAddr) -> anyhow::Result<Vec<AuditEntry>> {
        let ask = |client| async move { PeerClient::audit(&client, 0).await };
        Ok(self.peers.ask(control, ask).context("audit")?.entries)
    }

    /// Address of an entry for callers.
    pub fn caller_addr(&self, entry: usize) -> SocketAddr {
        self.entries[entry].1.callers()
    }

    /// The VM of an agent by name.
    pub fn agent_vm(&self, vm: &VmId) -> Option<&AgentVm> {
        self.agents.iter().find(|slot| slot.vm.id == *vm)
    }

    /// Drains all processes and waits for their end.
    pub fn stop(&mut self) {
        for (_, entry) in &self.entries {
            entry.drain();
        }
        for (_, entry) in self.entries.drain(..) {
            entry.wait();
        }
        let agents: Vec<Agent> = self.agents.iter_mut().filter_map(|s| s.agent.take()).collect();
        agents.iter().for_each(Agent::drain);
        agents.iter().for_each(Agent::wait);
    }
}

fn first_manifest(settings: &TestbedSettings) -> Manifest {
    Manifest {
        revision: Revision(0),
        workspaces: vec![Workspace {
            id: id("counter"),
            share: Permille::WHOLE,
            requests: settings.request_rate,
            queue: 256,
            keys: vec![Digest::of(CALLER_KEY.as_bytes())],
        }],
        services: vec![
            Service { id: id("assistant"), kind: ServiceKind::Model, unrepeatable: Vec::new() },
            Service {
                id: id("orders"),
                kind: ServiceKind::Plain,
                unrepeatable: vec![CallRule { method: "POST".into(), path: "/orders".into() }],
            },
        ],
        models: vec![Model { id: id("base"), versions: Vec::new() }],
        adapters: Vec::new(),
        rollouts: Vec::new(),
        origin: OriginBudget::default(),
    }
}

fn local() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("ids of the testbed are well-formed")
}
