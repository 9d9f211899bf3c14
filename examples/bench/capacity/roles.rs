//! Needs of each role.

use crate::{
    capacity::{Line, MAX_BYTES, MAX_MILLICORES, MAX_RATE, MAX_READS, sizes::Size},
    control::Slopes,
};

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Gossip messages a second that a process sends or receives: one call out and one in, each with a
/// reply.
const GOSSIP_MESSAGES: f64 = 4.0;
/// The same while there is news all the time: half a call a second more each way.
const BUSY_MESSAGES: f64 = 6.0;
/// Looks at the members a second.
const MEMBER_TICKS: f64 = 5.0;
/// Items in a gossip message: sender, receiver, and some news.
const ITEMS: f64 = 2.5;
/// The same in a full message.
const FULL_ITEMS: f64 = 8.0;
/// Bytes a second that an entry spends on questions to agents, and bytes of one question.
const QUESTIONS: (f64, f64) = (4_000.0, 700.0);
/// Processes in each zone that read from the platform, and documents that each reads.
const READERS: (f64, f64) = (2.0, 2.0);
/// Seconds of a watch without news.
const WATCH: f64 = 10.0;
/// Chunk memory of an agent by default, and most bytes of ended answers.
const AGENT_BUFFERS: (f64, f64) = ((128 << 20) as f64, (64 << 20) as f64);
/// Seconds that a record of an attempt is kept.
const RETENTION: f64 = 600.0;
/// Chunks of the largest release: 64 GiB of 16 MiB each.
const CHUNKS: f64 = 4_096.0;
/// Time in which a release is to be loaded.
const LOAD_SECONDS: f64 = 300.0;

type Table = Vec<(&'static str, Vec<Line>)>;

/// The needs of all roles at a size.
pub fn roles(slopes: &Slopes, size: &Size) -> anyhow::Result<Table> {
    let needs = Needs { slopes, size };
    Ok(vec![
        ("Entry", needs.entry()?),
        ("Agent", needs.agent()?),
        ("Agent that reads the configuration", needs.reader()?),
        ("Agent that reads the origin", needs.origin_reader()?),
        ("Platform", needs.platform()?),
    ])
}

struct Needs<'a> {
    slopes: &'a Slopes,
    size: &'a Size,
}

impl Needs<'_> {
    fn slope(&self, name: &str) -> anyhow::Result<f64> {
        Ok(self.slopes.get(name)?.slope.max(0.0))
    }

    /// The value of a line at `count`.
    fn at(&self, name: &str, count: f64) -> anyhow::Result<f64> {
        let line = self.slopes.get(name)?;
        Ok((line.base + line.slope * count).max(0.0))
    }

    fn vms(&self) -> f64 {
        self.size.entries + self.size.agents
    }

    /// Changes of documents a second.
    fn changes(&self) -> f64 {
        (self.size.changes + self.size.churn) / SECONDS_PER_DAY
    }

    /// Memory of what every process knows.
    fn state(&self) -> anyhow::Result<f64> {
        let Size { rollouts, workspaces, .. } = self.size;
        Ok(self.slope("peer_memory")? * self.vms()
            + self.slope("vm_memory")? * self.vms()
            + self.slope("rollout_memory")? * rollouts
            + self.slope("workspace_memory")? * workspaces)
    }

    /// Processor time of what every process does, in thousandths of a core; `moving` changes of
    /// documents a second move the placement.
    fn upkeep(&self, moving: f64) -> anyhow::Result<f64> {
        let gossip = GOSSIP_MESSAGES / 2.0 * self.at("gossip_time", FULL_ITEMS)?;
        let ticks = MEMBER_TICKS * self.at("tick_time", self.vms())?;
        let delta = self.at("delta_time", self.size.rollouts)?;
        let inputs = self.at("inputs_time", self.vms())?;
        let place = self.at("place_time", self.vms())?;
        Ok((gossip + ticks + self.changes() * (delta + inputs) + moving * place) / 1e3)
    }

    fn gossip_rate(&self, messages: f64, items: f64) -> anyhow::Result<f64> {
        Ok(messages * self.at("wire_bytes", items)?)
    }

    /// Headers of a message.
    fn envelope(&self) -> anyhow::Result<f64> {
        Ok((self.at("wire_bytes", 0.0)? - self.at("gossip_bytes", 0.0)?).max(0.0))
    }

    /// Bytes a second of changes that are fetched once and passed on once.
    fn change_rate(&self) -> anyhow::Result<f64> {
        Ok(2.0 * self.changes() * (self.at("delta_bytes", 1.0)? + self.envelope()?))
    }

    fn common(&self, idle: f64, idle_sum: &str) -> anyhow::Result<Vec<Line>> {
        let churn = self.size.churn / SECONDS_PER_DAY;
        Ok(vec![
            Line {
                what: "state",
                sum: "(peer_memory + vm_memory) x VMs + rollout_memory x rollouts + \
                      workspace_memory x workspaces"
                    .into(),
                value: self.state()? / 1e6,
                unit: "MB",
                bound: Some(MAX_BYTES / 1e6),
            },
            Line {
                what: "processor: decisions",
                sum:
                    "gossip_time x 2/s + tick_time x 5/s + (delta_time + inputs_time) x changes + \
                      place_time x changes of the VM list"
                        .into(),
                value: self.upkeep(churn)?,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
            Line {
                what: "processor: decisions if every change moves the placement",
                sum: "the same with place_time x all changes".into(),
                value: self.upkeep(self.changes())?,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
            Line {
                what: "processor: with calls and timers",
                sum: idle_sum.into(),
                value: self.upkeep(churn)? + idle,
                unit: "millicores",
                bound: Some(MAX_MILLICORES),
            },
        ])
    }

    fn entry(&self) -> anyhow::Result<Vec<Line>> {
        let idle = self.at("idle_processor", 0.0)?;
        let sum = "the same + base of idle_processor (an entry with the platform's stand-ins)";
        let mut lines = self.common(idle, sum)?;
        let streams = self.size.streams / self.size.entries;
        let questions = QUESTIONS.0.min(QUESTIONS.1 * 2.0 * self.size.agents);
        lines.push(Line {
            what: "messages",
            sum: "wire_bytes(2.5 items) x 4/s + delta_bytes x changes + questions to agents".into(),
            value: (self.gossip_rate(GOSSIP_MESSAGES, ITEMS)? + self.change_rate()? + questions)
                / 1e3,
            unit: "KB/s",
            bound: Some(MAX_RATE / 1e3),
        });
        lines.push(Line {
            what: "messages, news all the time",
            sum: "wire_bytes(8 items) x 6/s + delta_bytes x changes + questions to agents".into(),
            value: (self.gossip_rate(BUSY_MESSAGES, FULL_ITEMS)? + self.change_rate()? + questions)
                / 1e3,
            unit: "KB/s",
            bound: Some(MAX_RATE / 1e3),
        });
        lines.push(Line {
            what: "streams in progress",
            sum: "streams / entries".into(),
            value: streams,
            unit: "streams",
            bound: None,
        });
        lines.push(Line {
            what: "requests",
            sum: "requests / entries".into(),
            value: self.size.requests / self.size.entries,
            unit: "/s",
            bound: None,
        });
        lines.push(Line {
            what: "threads of streams",
            sum: "stream_threads x streams (entry, agent and stand-in engine together)".into(),
            value: self.slope("stream_threads")? * streams,
            unit: "threads",
            bound: None,
        });
        lines.push(Line {
            what: "memory with streams",
            sum: "state + stream_memory x streams (entry, agent and engine together)".into(),
            value: (self.state()? + self.slope("stream_memory")? * streams) / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        Ok(lines)
    }

    fn agent(&self) -> anyhow::Result<Vec<Line>> {
        let idle = self.slope("idle_processor")?;
        let sum = "the same + idle_processor (an agent with its stand-in engine)";
        let mut lines = self.common(idle, sum)?;
        let asked = QUESTIONS.0.min(QUESTIONS.1 * 2.0 * self.size.agents) * self.size.entries
            / self.size.agents;
        let attempts = self.size.requests / self.size.agents * RETENTION;
        lines.push(Line {
            what: "messages",
            sum: "wire_bytes(2.5 items) x 4/s + delta_bytes x changes + questions of entries"
                .into(),
            value: (self.gossip_rate(GOSSIP_MESSAGES, ITEMS)? + self.change_rate()? + asked) / 1e3,
            unit: "KB/s",
            bound: Some(MAX_RATE / 1e3),
        });
        lines.push(Line {
            what: "memory without buffers",
            sum: "state + attempt_memory x records of 600 s + idle_memory".into(),
            value: (self.state()?
                + self.slope("attempt_memory")? * attempts
                + self.slope("idle_memory")?)
                / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        lines.push(Line {
            what: "memory with full buffers",
            sum: "the same + 128 MiB of chunks + 64 MiB of ended answers".into(),
            value: (self.state()?
                + self.slope("attempt_memory")? * attempts
                + self.slope("idle_memory")?
                + AGENT_BUFFERS.0
                + AGENT_BUFFERS.1)
                / 1e6,
            unit: "MB",
            bound: Some(MAX_BYTES / 1e6),
        });
        lines.push(Line {
            what: "processor while a release loads",
            sum: "transfer_time x 4096 chunks within 300 s".into(),
            value: self.at("transfer_time", CHUNKS)? / LOAD_SECONDS / 1e3,
            unit: "millicores",
            bound: Some(MAX_MILLICORES),
        });
        Ok(lines)
    }

    fn reader(&self) -> anyhow::Result<Vec<Line>> {
        let manifest = self.at("manifest_bytes", self.size.rollouts)?;
        let list = self.at("list_bytes", self.vms())?;
        let whole = (manifest * self.size.changes + list * self.size.churn) / SECONDS_PER_DAY;
        let rest = self.gossip_rate(GOSSIP_MESSAGES, ITEMS)? + self.change_rate()?;
        Ok(vec![
            Line {
                what: "manifest",
                sum: "manifest_bytes x rollouts".into(),
                value: manifest / 1e6,
                unit: "MB",
                bound: Some(1.0),
            },
            Line {
                what: "VM list",
                sum: "list_bytes x VMs".into(),
                value: list / 1e6,
                unit: "MB",
                bound: None,
            },
            Line {
                what: "messages",
                sum: "manifest_bytes x changes + list_bytes x churn + those of an agent".into(),
                value: (whole + rest) / 1e3,
                unit: "KB/s",
                bound: Some(MAX_RATE / 1e3),
            },
        ])
    }

    fn origin_reader(&self) -> anyhow::Result<Vec<Line>> {
        Ok(vec![Line {
            what: "chunks that one VM reads",
            sum: "1.5 copies x 4096 chunks / VMs of the rollout".into(),
            value: 1.5 * CHUNKS / self.size.replicas,
            unit: "chunks",
            bound: None,
        }])
    }

    fn platform(&self) -> anyhow::Result<Vec<Line>> {
        let readers = READERS.0 * self.size.zones * READERS.1;
        let changes = self.changes();
        Ok(vec![
            Line {
                what: "reads of the configuration service",
                sum:
                    "2 readers x zones x 2 documents, each waiting watch one, and one more a change"
                        .into(),
                value: readers * (1.0 / WATCH + changes),
                unit: "reads/s",
                bound: Some(MAX_READS),
            },
            Line {
                what: "waiting watches",
                sum: "2 readers x zones x 2 documents".into(),
                value: readers,
                unit: "watches",
                bound: Some(MAX_READS),
            },
            Line {
                what: "reads when every process starts at once",
                sum: "2 documents x VMs within the first watch".into(),
                value: READERS.1 * self.vms(),
                unit: "reads",
                bound: Some(MAX_READS),
            },
            Line {
                what: "chunk lists read by a rollout",
                sum: "one for each VM of the largest rollout".into(),
                value: self.size.replicas,
                unit: "reads",
                bound: Some(MAX_READS),
            },
        ])
    }
}
