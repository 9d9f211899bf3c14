//! The testbed: starts and controls all processes of the fleet.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use agent::Agent;
use anyhow::{Context, bail};
use audit::AuditEntry;
use base::{ByteRate, ByteSize, Digest, Permille, Rate, Revision, Timeout, VmId};
use entry::Entry;
use manifest::{
    CallRule, Manifest, Model, OriginBudget, Role, Rollout, Service, ServiceKind, VersionRef, Vm,
    VmList, VmState, Workspace,
};
use net::PeerCaller;
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

/// The API key of the testbed's workspace.
pub const CALLER_KEY: &str = "caller-key-of-the-testbed";
const PEER_KEY: &str = "peer-key-of-the-testbed";
/// Runtime threads that all processes of the testbed share for JSON-RPC.
const RPC_THREADS: usize = 4;

/// Size and speed of a testbed.
#[derive(Debug, Clone, PartialEq)]
pub struct TestbedSettings {
    /// Number of entries.
    pub entries: usize,
    /// Number of agents with a model engine.
    pub agents: usize,
    /// Number of agents with a plain service.
    pub plain_services: usize,
    /// Number of availability zones, each in its own region.
    pub zones: usize,
    /// Rate of the network link of each VM.
    pub link_rate: ByteRate,
    /// Rate of the link of the origin, and of that of the weight store.
    pub origin_rate: ByteRate,
    /// Memory of each agent for chunks.
    pub chunk_memory: ByteSize,
    /// Strategy by which weights are distributed.
    pub strategy: Strategy,
    /// Settings of each engine.
    pub engine: EngineSettings,
    /// Duration of a call to a plain service.
    pub call_time: Duration,
    /// Time after its start during which an agent is not authoritative for callers' idempotency keys.
    pub handover: Duration,
    /// Requests per second that the workspace may send.
    pub request_rate: Rate,
    /// Policy by which the entries pick endpoints.
    pub policy: RoutingPolicy,
    /// Number of endpoints that each entry uses for a service.
    pub subset: usize,
    /// Seed of all randomness in the fakes.
    pub seed: u64,
    /// Whether the processes log to standard error.
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

/// A VM with an agent and its endpoint.
pub struct AgentVm {
    /// The VM as published in the VM list.
    pub vm: Vm,
    /// The agent; `None` after it was stopped.
    pub agent: Option<Agent>,
    /// The engine, if the endpoint is a model engine.
    pub engine: Option<Engine>,
    /// The service, if the endpoint is a plain service.
    pub plain_service: Option<PlainService>,
}

/// A running fleet; dropping it stops the fakes.
pub struct Testbed {
    /// The settings that it was started with.
    pub settings: TestbedSettings,
    /// The configuration service, which also serves the VM list.
    pub config: ValueService,
    /// The weight store, empty at first.
    pub store: BlobService,
    /// The origin of the weights.
    pub origin: BlobService,
    /// Agents with their VMs and endpoints.
    pub agents: Vec<AgentVm>,
    /// Entries with their VMs.
    pub entries: Vec<(Vm, Entry)>,
    /// The manifest. Changes take effect with `publish_manifest`.
    pub manifest: Manifest,
    /// The VM list that was last published.
    pub vms: VmList,
    /// Client for calls to the processes.
    pub peers: PeerCaller,
    runtime: Runtime,
}

impl Testbed {
    /// Starts the fakes and all processes, and publishes the VM list and a manifest without
    /// rollouts.
    pub fn start(settings: TestbedSettings) -> anyhow::Result<Testbed> {
        let runtime = net::runtime(RPC_THREADS)?;
        let peers = PeerCaller::new(runtime.handle().clone(), PeerKey::new(PEER_KEY));
        let mut bed = Testbed {
            config: ValueService::start()?,
            store: BlobService::start(settings.origin_rate, settings.seed)?,
            origin: BlobService::start(settings.origin_rate, settings.seed)?,
            agents: Vec::new(),
            entries: Vec::new(),
            manifest: initial_manifest(&settings),
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

    /// Starts an agent with a new model engine. `zone_index`, modulo the number of zones, selects its
    /// zone. The VM list is not published.
    pub fn add_agent(&mut self, name: &str, zone_index: usize) -> anyhow::Result<()> {
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
        let (vm, agent) = self.start_agent(name, zone_index, Role::Model, options)?;
        self.agents.push(AgentVm {
            vm,
            agent: Some(agent),
            engine: Some(engine),
            plain_service: None,
        });
        Ok(())
    }

    /// Starts an agent with a new plain service named `orders`. The VM list is not published.
    pub fn add_plain_service(&mut self, name: &str, zone_index: usize) -> anyhow::Result<()> {
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
        let (vm, agent) = self.start_agent(name, zone_index, Role::Plain(service), options)?;
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
        zone_index: usize,
        role: Role,
        options: AgentSettings,
    ) -> anyhow::Result<(Vm, Agent)> {
        let settings = Settings { agent: Some(options), ..self.process_settings(name, zone_index) };
        let log = self.log(name, "agent");
        let agent = Agent::start(settings, self.runtime.handle(), log)?;
        let vm = self.vm(name, zone_index, role, agent.control(), agent.data());
        Ok((vm, agent))
    }

    fn add_entry(&mut self, name: &str, zone_index: usize) -> anyhow::Result<()> {
        let options = EntrySettings {
            callers: loopback_addr(),
            policy: self.settings.policy,
            subset: self.settings.subset,
            ..EntrySettings::default()
        };
        let settings = Settings { entry: Some(options), ..self.process_settings(name, zone_index) };
        let log = self.log(name, "entry");
        let entry = Entry::start(settings, self.runtime.handle(), telemetry::install(), log)?;
        let vm = self.vm(name, zone_index, Role::Entry, entry.control(), entry.control());
        self.entries.push((vm, entry));
        Ok(())
    }

    fn log(&self, name: &str, role: &'static str) -> slog::Logger {
        if self.settings.verbose {
            telemetry::logger(name.to_owned(), role)
        } else {
            telemetry::discard_logger()
        }
    }

    fn vm(
        &self,
        name: &str,
        zone_index: usize,
        role: Role,
        control: SocketAddr,
        data: SocketAddr,
    ) -> Vm {
        let zone_index = zone_index % self.settings.zones.max(1);
        Vm {
            id: id(name),
            zone: id(&format!("zone-{zone_index}")),
            region: id(&format!("region-{zone_index}")),
            role,
            state: VmState::Live,
            control,
            data,
        }
    }

    fn process_settings(&self, name: &str, zone_index: usize) -> Settings {
        let zone_index = zone_index % self.settings.zones.max(1);
        Settings {
            vm: id(name),
            zone: id(&format!("zone-{zone_index}")),
            region: id(&format!("region-{zone_index}")),
            control: loopback_addr(),
            data: loopback_addr(),
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

    /// Publishes the VM list with all running agents and all entries, each in the state that its own
    /// `Vm` has.
    pub fn publish_vms(&mut self) {
        let running = self.agents.iter().filter(|slot| slot.agent.is_some()).map(|slot| &slot.vm);
        let entries = self.entries.iter().map(|(vm, _)| vm);
        self.vms.vms = running.chain(entries).cloned().collect();
        self.vms.revision = self.vms.revision.next();
        self.config.publish("vms", self.vms.revision.0, vms_value(&self.vms));
    }

    /// Publishes the manifest as its next revision.
    pub fn publish_manifest(&mut self) {
        self.manifest.revision = self.manifest.revision.next();
        let revision = self.manifest.revision.0;
        self.config.publish("manifest", revision, manifest_value(&self.manifest));
    }

    /// Publishes weights at the origin and adds them to the manifest as a version of the model
    /// `base`. The manifest is not published.
    pub fn add_version(&mut self, weights: &Weights) {
        publish_weights(weights, &self.config, &self.origin);
        self.manifest.models[0].versions.push(weights.version.clone());
    }

    /// Publishes a manifest that rolls a version of the model `base` out to `replicas` VMs, of which
    /// `floor` stay ready.
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

    /// Number of engines that report that they serve `release`.
    pub fn serving_count(&self, release: &str) -> usize {
        let engines = self.agents.iter().filter_map(|slot| slot.engine.as_ref());
        engines.filter(|engine| engine.serving().as_deref() == Some(release)).count()
    }

    /// Waits until `condition` holds and returns the time that it took.
    ///
    /// # Errors
    ///
    /// If the condition does not hold within `timeout`.
    pub fn wait_until(
        &self,
        description: &str,
        timeout: Duration,
        mut condition: impl FnMut(&Testbed) -> bool,
    ) -> anyhow::Result<Duration> {
        let start = Instant::now();
        while !condition(self) {
            if start.elapsed() > timeout {
                bail!("{description}: not within {timeout:?}");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(start.elapsed())
    }

    /// Kills an agent, without a drain, together with its engine, and returns the counters of the
    /// engine. The VM list is not published.
    pub fn kill_agent(&mut self, vm: &VmId) -> Option<EngineCounts> {
        let index = self.agents.iter().position(|slot| slot.vm.id == *vm)?;
        let slot = self.agents.remove(index);
        if let Some(agent) = &slot.agent {
            agent.kill();
        }
        slot.engine.map(|engine| engine.counts())
    }

    /// Queries the status of a process.
    pub fn status(&self, control: SocketAddr) -> anyhow::Result<Status> {
        let call = |client| async move { PeerClient::status(&client).await };
        self.peers.call_blocking(control, call).context("status")
    }

    /// The entries of a process's audit trail, oldest first.
    pub fn audit_entries(&self, control: SocketAddr) -> anyhow::Result<Vec<AuditEntry>> {
        let call = |client| async move { PeerClient::audit(&client, 0).await };
        Ok(self.peers.call_blocking(control, call).context("audit")?.entries)
    }

    /// The address at which an entry accepts callers.
    pub fn caller_addr(&self, entry: usize) -> SocketAddr {
        self.entries[entry].1.callers()
    }

    /// The agent with the VM id `vm`.
    pub fn agent_vm(&self, vm: &VmId) -> Option<&AgentVm> {
        self.agents.iter().find(|slot| slot.vm.id == *vm)
    }

    /// Drains all processes and waits until they have exited.
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

fn initial_manifest(settings: &TestbedSettings) -> Manifest {
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

fn loopback_addr() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("ids of the testbed are well-formed")
}
