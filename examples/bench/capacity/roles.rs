//! Estimated resource needs of each role.

use crate::{
    capacity::{
        MAX_BYTES, MAX_BYTES_PER_SECOND, MAX_MILLICORES, MAX_READS_PER_SECOND, Row,
        sizes::FleetSize,
    },
    control::Slopes,
};

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Gossip messages per second that a process sends or receives: one outgoing and one incoming call,
/// each with a reply.
const GOSSIP_MESSAGES: f64 = 4.0;
/// The same under a constant stream of updates: half a call per second more in each direction.
const BUSY_GOSSIP_MESSAGES: f64 = 6.0;
/// Runs of the membership timer per second.
const MEMBER_TICKS: f64 = 5.0;
/// Mean number of items in a gossip message: sender, receiver and a few updates.
const MEAN_ITEMS: f64 = 2.5;
/// Number of items in a full gossip message.
const FULL_ITEMS: f64 = 8.0;
/// Bytes per second that an entry spends on polling agents at most, and bytes of one poll.
const POLLING: (f64, f64) = (4_000.0, 700.0);
/// Processes in each zone that read documents from the platform, and number of documents.
const DOCUMENT_READERS: (f64, f64) = (2.0, 2.0);
/// Duration in seconds of a watch that ends without a change.
const WATCH_SECONDS: f64 = 10.0;
/// Default chunk memory of an agent and maximum size of its retained responses, in bytes.
const AGENT_BUFFERS: (f64, f64) = ((128 << 20) as f64, (64 << 20) as f64);
/// Seconds for which the record of an attempt is retained.
const RETENTION_SECONDS: f64 = 600.0;
/// Chunks of the largest release: 64 GiB of 16 MiB each.
const MAX_CHUNKS: f64 = 4_096.0;
/// Target time in seconds to load a release.
const LOAD_SECONDS: f64 = 300.0;

type Table = Vec<(&'static str, Vec<Row>)>;

/// Returns the tables of all roles for a fleet size.
pub fn roles(slopes: &Slopes, size: &FleetSize) -> anyhow::Result<Table> {
    let estimator = Estimator { slopes, size };
    Ok(vec![
        ("Entry", estimator.entry()?),
        ("Agent", estimator.agent()?),
        ("Agent that reads the configuration", estimator.reader()?),
        ("Agent that reads the origin", estimator.origin_reader()?),
        ("Platform", estimator.platform()?),
    ])
}

struct Estimator<'a> {
    slopes: &'a Slopes,
    size: &'a FleetSize,
}

impl Estimator<'_> {
    fn slope(&self, name: &str) -> anyhow::Result<f64> {
        Ok(self.slopes.get(name)?.slope.max(0.0))
    }

    /// The fitted value at `count`; not below 0.
    fn value_at(&self, name: &str, count: f64) -> anyhow::Result<f64> {
        let fitted = self.slopes.get(name)?;
        Ok((fitted.base + fitted.slope * count).max(0.0))
    }

    fn vm_count(&self) -> f64 {
        self.size.entries + self.size.agents
    }

    /// Changes of the manifest and the VM list per second.
    fn changes_per_second(&self) -> f64 {
        (self.size.changes + self.size.churn) / SECONDS_PER_DAY
    }

    /// Bytes of the state that every process holds: peers, VMs, rollouts and workspaces.
    fn state_bytes(&self) -> anyhow::Result<f64> {
        let FleetSize { rollouts, workspaces, .. } = self.size;
        Ok(self.slope("peer_memory")? * self.vm_count()
            + self.slope("vm_memory")? * self.vm_count()
            + self.slope("rollout_memory")? * rollouts
            + self.slope("workspace_memory")? * workspaces)
    }

    /// Processor time of the periodic work of every process in millicores; `placement_changes`
    /// document changes per second require the placement to be computed again.
    fn periodic_millicores(&self, placement_changes: f64) -> anyhow::Result<f64> {
        let gossip = GOSSIP_MESSAGES / 2.0 * self.value_at("gossip_time", FULL_ITEMS)?;
        let ticks = MEMBER_TICKS * self.value_at("tick_time", self.vm_count())?;
        let delta = self.value_at("delta_time", self.size.rollouts)?;
        let inputs = self.value_at("inputs_time", self.vm_count())?;
        let place = self.value_at("place_time", self.vm_count())?;
        Ok((gossip
            + ticks
            + self.changes_per_second() * (delta + inputs)
            + placement_changes * place)
            / 1e3)
    }

    /// Bytes per second of `messages` gossip messages per second with `items` items each.
    fn gossip_rate(&self, messages: f64, items: f64) -> anyhow::Result<f64> {
        Ok(messages * self.value_at("wire_bytes", items)?)
    }

    /// Bytes of the headers of a message.
    fn header_bytes(&self) -> anyhow::Result<f64> {
        Ok((self.value_at("wire_bytes", 0.0)? - self.value_at("gossip_bytes", 0.0)?).max(0.0))
    }

    /// Bytes per second of document changes, each received once and forwarded once.
    fn change_rate(&self) -> anyhow::Result<f64> {
        Ok(2.0
            * self.changes_per_second()
            * (self.value_at("delta_bytes", 1.0)? + self.header_bytes()?))
    }

    /// Rows that entries and agents share; `idle` is the processor time of an idle process in
    /// millicores.
    fn common_rows(&self, idle: f64, idle_formula: &str) -> anyhow::Result<Vec<Row>> {
        let churn = self.size.churn / SECONDS_PER_DAY;
        Ok(vec![
            Row {
                name: "state",
                formula: "(peer_memory + vm_memory) x VMs + rollout_memory x rollouts + \
                      workspace_memory x workspaces"
                    .into(),
                value: self.state_bytes()? / 1e6,
                unit: "MB",
                bound: Some(MAX_BYTES / 1e6),
            },
            Row {
                name: "processor: decisions",
                formula:
                    "gossip_time x 2/s + tick_time x 5/s + (delta_time + inputs_time) x changes + \
                      place_time x changes of the VM list"
                        .into(),
                value: self.periodic_millicores(churn)?,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
            Row {
                name: "processor: decisions if every change moves the placement",
                formula: "the same with place_time x all changes".into(),
                value: self.periodic_millicores(self.changes_per_second())?,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
            Row {
                name: "processor: with calls and timers",
                formula: idle_formula.into(),
                value: self.periodic_millicores(churn)? + idle,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
        ])
    }

    fn entry(&self) -> anyhow::Result<Vec<Row>> {
        let idle = self.value_at("idle_processor", 0.0)?;
        let formula = "the same + base of idle_processor (an entry with the platform's stand-ins)";
        let mut rows = self.common_rows(idle, formula)?;
        let streams = self.size.streams / self.size.entries;
        let polling = POLLING.0.min(POLLING.1 * 2.0 * self.size.agents);
        rows.push(Row {
            name: "messages",
            formula: "wire_bytes(2.5 items) x 4/s + delta_bytes x changes + questions to agents"
                .into(),
            value: (self.gossip_rate(GOSSIP_MESSAGES, MEAN_ITEMS)? + self.change_rate()? + polling)
                / 1e3,
            unit: "KB/s",
            bound: Some(MAX_BYTES_PER_SECOND / 1e3),
        });
        rows.push(Row {
            name: "messages, news all the time",
            formula: "wire_bytes(8 items) x 6/s + delta_bytes x changes + questions to agents"
                .into(),
            value: (self.gossip_rate(BUSY_GOSSIP_MESSAGES, FULL_ITEMS)?
                + self.change_rate()?
                + polling)
                / 1e3,
            unit: "KB/s",
            bound: Some(MAX_BYTES_PER_SECOND / 1e3),
        });
        rows.push(Row {
            name: "streams in progress",
            formula: "streams / entries".into(),
            value: streams,
            unit: "streams",
            bound: None,
        });
        rows.push(Row {
            name: "requests",
            formula: "requests / entries".into(),
            value: self.size.requests / self.size.entries,
            unit: "/s",
            bound: None,
        });
        rows.push(Row {
            name: "threads of streams",
            formula: "stream_threads x streams (entry, agent and stand-in engine together)".into(),
            value: self.slope("stream_threads")? * streams,
            unit: "threads",
            bound: None,
        });
        rows.push(Row {
            name: "memory with streams",
            formula: "state + stream_memory x streams (entry, agent and engine together)".into(),
            value: (self.state_bytes()? + self.slope("stream_memory")? * streams) / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        Ok(rows)
    }

    fn agent(&self) -> anyhow::Result<Vec<Row>> {
        let idle = self.slope("idle_processor")?;
        let formula = "the same + idle_processor (an agent with its stand-in engine)";
        let mut rows = self.common_rows(idle, formula)?;
        let polling = POLLING.0.min(POLLING.1 * 2.0 * self.size.agents) * self.size.entries
            / self.size.agents;
        let attempts = self.size.requests / self.size.agents * RETENTION_SECONDS;
        rows.push(Row {
            name: "messages",
            formula: "wire_bytes(2.5 items) x 4/s + delta_bytes x changes + questions of entries"
                .into(),
            value: (self.gossip_rate(GOSSIP_MESSAGES, MEAN_ITEMS)? + self.change_rate()? + polling)
                / 1e3,
            unit: "KB/s",
            bound: Some(MAX_BYTES_PER_SECOND / 1e3),
        });
        rows.push(Row {
            name: "memory without buffers",
            formula: "state + attempt_memory x records of 600 s + idle_memory".into(),
            value: (self.state_bytes()?
                + self.slope("attempt_memory")? * attempts
                + self.slope("idle_memory")?)
                / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        rows.push(Row {
            name: "memory with full buffers",
            formula: "the same + 128 MiB of chunks + 64 MiB of ended answers".into(),
            value: (self.state_bytes()?
                + self.slope("attempt_memory")? * attempts
                + self.slope("idle_memory")?
                + AGENT_BUFFERS.0
                + AGENT_BUFFERS.1)
                / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        rows.push(Row {
            name: "processor while a release loads",
            formula: "transfer_time x 4096 chunks within 300 s".into(),
            value: self.value_at("transfer_time", MAX_CHUNKS)? / LOAD_SECONDS / 1e3,
            unit: "millicores",
            bound: Some(MAX_MILLICORES),
        });
        Ok(rows)
    }

    fn reader(&self) -> anyhow::Result<Vec<Row>> {
        let manifest = self.value_at("manifest_bytes", self.size.rollouts)?;
        let list = self.value_at("list_bytes", self.vm_count())?;
        let full_documents =
            (manifest * self.size.changes + list * self.size.churn) / SECONDS_PER_DAY;
        let gossip_and_changes =
            self.gossip_rate(GOSSIP_MESSAGES, MEAN_ITEMS)? + self.change_rate()?;
        Ok(vec![
            Row {
                name: "manifest",
                formula: "manifest_bytes x rollouts".into(),
                value: manifest / 1e6,
                unit: "MB",
                bound: Some(1.0),
            },
            Row {
                name: "VM list",
                formula: "list_bytes x VMs".into(),
                value: list / 1e6,
                unit: "MB",
                bound: None,
            },
            Row {
                name: "messages",
                formula: "manifest_bytes x changes + list_bytes x churn + those of an agent".into(),
                value: (full_documents + gossip_and_changes) / 1e3,
                unit: "KB/s",
                bound: Some(MAX_BYTES_PER_SECOND / 1e3),
            },
        ])
    }

    fn origin_reader(&self) -> anyhow::Result<Vec<Row>> {
        Ok(vec![Row {
            name: "chunks that one VM reads",
            formula: "1.5 copies x 4096 chunks / VMs of the rollout".into(),
            value: 1.5 * MAX_CHUNKS / self.size.replicas,
            unit: "chunks",
            bound: None,
        }])
    }

    fn platform(&self) -> anyhow::Result<Vec<Row>> {
        let readers = DOCUMENT_READERS.0 * self.size.zones * DOCUMENT_READERS.1;
        let changes = self.changes_per_second();
        Ok(vec![
            Row {
                name: "reads of the configuration service",
                formula:
                    "2 readers x zones x 2 documents, each waiting watch one, and one more a change"
                        .into(),
                value: readers * (1.0 / WATCH_SECONDS + changes),
                unit: "reads/s",
                bound: Some(MAX_READS_PER_SECOND),
            },
            Row {
                name: "waiting watches",
                formula: "2 readers x zones x 2 documents".into(),
                value: readers,
                unit: "watches",
                bound: Some(MAX_READS_PER_SECOND),
            },
            Row {
                name: "reads when every process starts at once",
                formula: "2 documents x VMs within the first watch".into(),
                value: DOCUMENT_READERS.1 * self.vm_count(),
                unit: "reads",
                bound: Some(MAX_READS_PER_SECOND),
            },
            Row {
                name: "chunk lists read by a rollout",
                formula: "one for each VM of the largest rollout".into(),
                value: self.size.replicas,
                unit: "reads",
                bound: Some(MAX_READS_PER_SECOND),
            },
        ])
    }
}
