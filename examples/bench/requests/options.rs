//! Options of `bench requests`.

use std::{path::PathBuf, time::Duration};

use lexopt::{Arg, ValueExt};
use serde_json::Value;
use settings::RoutingPolicy;

/// Size of the fleet and parameters of the load.
pub struct Options {
    pub entries: usize,
    pub agents: usize,
    pub zones: usize,
    pub slots: usize,
    pub tokens: usize,
    pub token_time: Duration,
    /// Load relative to the capacity of all slots.
    pub overload: f64,
    /// Duration of each step of the search for the peak.
    pub step: Duration,
    /// Duration of the overload.
    pub time: Duration,
    pub deadline: Duration,
    /// Fraction of each workspace's requests that go to one entry.
    pub skew: f64,
    /// Fraction of the requests that are calls to the plain service.
    pub orders: f64,
    /// Only measures the time of decisions, without a fleet.
    pub cost: bool,
    pub rollout: bool,
    pub faults: bool,
    pub poison: bool,
    pub policy: RoutingPolicy,
    pub seed: u64,
    pub json: Option<PathBuf>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            entries: 3,
            agents: 6,
            zones: 3,
            slots: 4,
            tokens: 10,
            token_time: Duration::from_millis(20),
            overload: 3.0,
            step: Duration::from_secs(4),
            time: Duration::from_secs(12),
            deadline: Duration::from_secs(2),
            skew: 0.0,
            orders: 0.02,
            cost: false,
            rollout: false,
            faults: false,
            poison: false,
            policy: RoutingPolicy::default(),
            seed: 1,
            json: None,
        }
    }
}

impl Options {
    /// Parses the command line.
    pub fn parse(mut parser: lexopt::Parser) -> anyhow::Result<Options> {
        let mut options = Options::default();
        while let Some(arg) = parser.next()? {
            match arg {
                Arg::Long("entries") => options.entries = parser.value()?.parse()?,
                Arg::Long("agents") => options.agents = parser.value()?.parse()?,
                Arg::Long("slots") => options.slots = parser.value()?.parse()?,
                Arg::Long("overload") => options.overload = parser.value()?.parse()?,
                Arg::Long("skew") => options.skew = parser.value()?.parse()?,
                Arg::Long("seconds") => {
                    options.time = Duration::from_secs(parser.value()?.parse()?);
                }
                Arg::Long("policy") => options.policy = parser.value()?.parse()?,
                Arg::Long("cost") => options.cost = true,
                Arg::Long("rollout") => options.rollout = true,
                Arg::Long("faults") => options.faults = true,
                Arg::Long("poison") => options.poison = true,
                Arg::Long("seed") => options.seed = parser.value()?.parse()?,
                Arg::Long("json") => options.json = Some(parser.value()?.into()),
                other => return Err(other.unexpected().into()),
            }
        }
        Ok(options)
    }

    /// Requests per second that all slots together can process.
    pub fn capacity(&self) -> f64 {
        let service_time = self.token_time.as_secs_f64() * self.tokens as f64;
        (self.agents * self.slots) as f64 / service_time
    }

    /// Returns the options as key-value pairs for a report.
    pub fn pairs(&self) -> Vec<(&'static str, Value)> {
        vec![
            ("entries", self.entries.into()),
            ("agents", self.agents.into()),
            ("slots", self.slots.into()),
            ("capacity", self.capacity().into()),
            ("overload", self.overload.into()),
            ("deadline_ms", (self.deadline.as_millis() as u64).into()),
            ("skew", self.skew.into()),
            ("rollout", self.rollout.into()),
            ("faults", self.faults.into()),
            ("poison", self.poison.into()),
            ("policy", self.policy.as_str().into()),
            ("seed", self.seed.into()),
        ]
    }
}
