//! Counts of what the callers and the simulated endpoints observed.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::Value;
use testbed::{CallResult, Testbed};

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A streamed chat completion.
    Chat,
    /// A call to the plain service that must not be retried.
    Order,
}

/// A request with its response.
pub struct Sample {
    pub workspace: usize,
    pub kind: Kind,
    pub text: String,
    /// Whether it was sent after the warm-up.
    pub sent_in_window: bool,
    /// Whether the response arrived in the measured part of the load.
    pub in_window: bool,
    pub latency: Duration,
    pub response: CallResult,
}

/// Counts of chat requests of one workspace in the measured part of a load.
#[derive(Default, Clone)]
pub struct WorkspaceCounts {
    pub sent: u64,
    pub answered: u64,
}

impl WorkspaceCounts {
    /// Returns the row as key-value pairs for a report.
    pub fn pairs(&self, index: usize, share: u32) -> Vec<(&'static str, Value)> {
        vec![
            ("index", index.into()),
            ("share", (f64::from(share) / 1000.0).into()),
            ("sent", self.sent.into()),
            ("answered", self.answered.into()),
        ]
    }
}

/// Counts of a load.
pub struct Counts {
    pub sent: u64,
    pub answered: u64,
    pub refused: u64,
    pub unknown: u64,
    pub harmed: u64,
    pub crossed: u64,
    pub doubled: u64,
    pub crashes: u64,
    /// Requests that were answered in the measured part of the load.
    pub in_window: u64,
    pub workspaces: Vec<WorkspaceCounts>,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
    /// Texts of the calls to the plain service that were refused with the outcome `not-run`.
    not_run: Vec<String>,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts::new(0)
    }
}

impl Counts {
    /// Creates counts of zero.
    pub fn new(workspaces: usize) -> Counts {
        Counts {
            sent: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            harmed: 0,
            crossed: 0,
            doubled: 0,
            crashes: 0,
            in_window: 0,
            workspaces: vec![WorkspaceCounts::default(); workspaces],
            latency: Histogram::new(3).expect("three digits are valid"),
            refusal: Histogram::new(3).expect("three digits are valid"),
            not_run: Vec::new(),
        }
    }

    /// Adds a request with its response.
    pub fn add(&mut self, sample: Sample) {
        self.sent += 1;
        let chat = sample.kind == Kind::Chat;
        let row = &mut self.workspaces[sample.workspace];
        row.sent += u64::from(sample.sent_in_window && chat);
        let micros = sample.latency.as_micros() as u64;
        match &sample.response {
            CallResult::Whole { .. } => {
                self.answered += 1;
                self.in_window += u64::from(sample.in_window);
                row.answered += u64::from(sample.in_window && chat);
                if chat {
                    self.latency.record(micros).expect("the histogram grows");
                }
            }
            CallResult::Refused { outcome, .. } if outcome == "not-run" => {
                self.refused += 1;
                self.refusal.record(micros).expect("the histogram grows");
                if sample.kind == Kind::Order {
                    self.not_run.push(sample.text);
                }
            }
            CallResult::Refused { .. } | CallResult::Cut => self.unknown += 1,
            CallResult::Harmed(reason) => {
                eprintln!("harmed: {:?}: {reason}", sample.text);
                self.harmed += 1;
                self.crossed +=
                    u64::from(reason.starts_with("foreign") || reason.starts_with("not the"));
            }
        }
    }

    /// Adds `sent` poison requests, which are all counted as refused.
    pub fn add_poison(&mut self, sent: u64) {
        self.sent += sent;
        self.refused += sent;
    }

    /// Adds the counts of the simulated endpoints: crashes, requests that ran more than once, and
    /// as harmed those that were reported as not run but ran.
    pub fn count_runs(&mut self, bed: &Testbed) {
        let mut orders: HashMap<String, u32> = HashMap::new();
        for slot in &bed.agents {
            if let Some(engine) = &slot.engine {
                let counts = engine.counts();
                self.crashes += u64::from(counts.crashes);
                self.doubled += counts.runs.values().filter(|n| **n > 1).count() as u64;
            }
            for (key, runs) in slot.plain_service.iter().flat_map(|plain| plain.run_counts()) {
                *orders.entry(key).or_default() += runs;
            }
        }
        self.doubled += orders.values().filter(|n| **n > 1).count() as u64;
        let ran = self.not_run.iter().filter(|text| orders.contains_key(*text)).count() as u64;
        self.harmed += ran;
    }

    /// Requests answered per second in the measured part, whose duration is `time`.
    pub fn goodput(&self, time: Duration) -> f64 {
        self.in_window as f64 / time.as_secs_f64()
    }

    /// Returns the counts as key-value pairs for a report; latencies of responses and refusals in
    /// milliseconds.
    pub fn pairs(&self, load: f64, time: Duration) -> Vec<(&'static str, Value)> {
        let ms = |h: &Histogram<u64>, q: f64| Value::from(h.value_at_quantile(q) as f64 / 1000.0);
        vec![
            ("load", load.into()),
            ("sent", self.sent.into()),
            ("answered", self.answered.into()),
            ("refused_share", (self.refused as f64 / self.sent.max(1) as f64).into()),
            ("goodput", self.goodput(time).into()),
            ("p50_ms", ms(&self.latency, 0.5)),
            ("p99_ms", ms(&self.latency, 0.99)),
            ("refusal_p50_ms", ms(&self.refusal, 0.5)),
            ("refusal_p99_ms", ms(&self.refusal, 0.99)),
        ]
    }

    /// Returns the pairs of the summary line of a run.
    pub fn summary(&self, share: f64, goodput: f64, attempts: f64) -> Vec<(&'static str, Value)> {
        vec![
            ("sent", self.sent.into()),
            ("answered", self.answered.into()),
            ("refused", self.refused.into()),
            ("unknown", self.unknown.into()),
            ("harmed", self.harmed.into()),
            ("doubled", self.doubled.into()),
            ("crossed", self.crossed.into()),
            ("share_error", share.into()),
            ("goodput_ratio", goodput.into()),
            ("attempts_ratio", attempts.into()),
            ("crashes", self.crashes.into()),
        ]
    }
}

/// Largest relative deviation of a backlogged workspace from its weighted fair share. Workspaces
/// that are not backlogged get all they ask for; the rest is divided among the others by weight.
pub fn share_error(rows: &[WorkspaceCounts], shares: &[u32]) -> f64 {
    let total: u64 = rows.iter().map(|row| row.answered).sum();
    let mut remaining = total as f64;
    let mut fair_shares = vec![0.0; rows.len()];
    let mut backlogged: Vec<usize> = (0..rows.len()).collect();
    loop {
        let weights: f64 = backlogged.iter().map(|i| f64::from(shares[*i])).sum();
        let fair_share = |i: usize| remaining * f64::from(shares[i]) / weights;
        let satisfied = backlogged.iter().position(|i| rows[*i].sent as f64 <= fair_share(*i));
        let Some(position) = satisfied else {
            backlogged.iter().for_each(|i| fair_shares[*i] = fair_share(*i));
            break;
        };
        let index = backlogged.remove(position);
        remaining -= rows[index].sent as f64;
    }
    let errors = backlogged
        .iter()
        .map(|i| (rows[*i].answered as f64 / fair_shares[*i].max(1.0) - 1.0).abs());
    errors.fold(0.0, f64::max)
}

/// Values of the entries' metrics.
#[derive(Clone, Copy)]
pub struct Counters {
    started: f64,
    attempts: f64,
}

impl Counters {
    /// Reads the current values; all entries run in this process and share them.
    pub fn read() -> Counters {
        let page = telemetry::install().render();
        Counters {
            started: metric_value(&page, "carawaypaddle_started_total"),
            attempts: metric_value(&page, "carawaypaddle_attempts_total"),
        }
    }

    /// Mean number of attempts per request that was attempted at least once.
    pub fn ratio_since(&self, before: &Counters) -> f64 {
        (self.attempts - before.attempts) / (self.started - before.started).max(1.0)
    }

    /// Returns the increase of the counters as key-value pairs for a report.
    pub fn pairs_since(&self, before: &Counters) -> Vec<(&'static str, Value)> {
        vec![
            ("started", (self.started - before.started).into()),
            ("attempts", (self.attempts - before.attempts).into()),
        ]
    }
}

/// Value of the first metric whose line starts with `name`; 0 if there is none.
fn metric_value(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}
