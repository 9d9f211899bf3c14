//! What callers and stand-ins saw.

use std::{collections::HashMap, time::Duration};

use hdrhistogram::Histogram;
use serde_json::Value;
use testbed::{CallResult, Testbed};

/// What a request asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// A streamed chat completion.
    Chat,
    /// A call to the plain service that may not be repeated.
    Order,
}

/// One request with its answer.
pub struct Sample {
    pub workspace: usize,
    pub kind: Kind,
    pub text: String,
    /// Whether it was sent in the judged part of the load.
    pub sent: bool,
    /// Whether it was answered in the judged part of the load.
    pub good: bool,
    pub took: Duration,
    pub answer: CallResult,
}

/// Counts of one workspace, over the judged part of a load.
#[derive(Default, Clone)]
pub struct Row {
    pub sent: u64,
    pub answered: u64,
}

impl Row {
    /// The row as pairs of a report.
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
    /// Answered while the judged part of the load ran.
    pub good: u64,
    pub workspaces: Vec<Row>,
    latency: Histogram<u64>,
    refusal: Histogram<u64>,
    /// Calls to the plain service that were refused as not run.
    not_run: Vec<String>,
}

impl Default for Counts {
    fn default() -> Counts {
        Counts::new(0)
    }
}

impl Counts {
    /// Nothing was sent yet.
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
            good: 0,
            workspaces: vec![Row::default(); workspaces],
            latency: Histogram::new(3).expect("three digits are valid"),
            refusal: Histogram::new(3).expect("three digits are valid"),
            not_run: Vec::new(),
        }
    }

    /// Takes in a request with its answer.
    pub fn add(&mut self, sample: Sample) {
        self.sent += 1;
        let chat = sample.kind == Kind::Chat;
        let row = &mut self.workspaces[sample.workspace];
        row.sent += u64::from(sample.sent && chat);
        let micros = sample.took.as_micros() as u64;
        match &sample.answer {
            CallResult::Whole { .. } => {
                self.answered += 1;
                self.good += u64::from(sample.good);
                row.answered += u64::from(sample.good && chat);
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
            CallResult::Harmed(why) => {
                eprintln!("harmed: {:?}: {why}", sample.text);
                self.harmed += 1;
                self.crossed += u64::from(why.starts_with("foreign") || why.starts_with("not the"));
            }
        }
    }

    /// Takes in the poison requests.
    pub fn add_poison(&mut self, sent: u64) {
        self.sent += sent;
        self.refused += sent;
    }

    /// Takes in what the stand-ins counted.
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

    /// Requests a second that were answered in the judged part, which took `time`.
    pub fn goodput(&self, time: Duration) -> f64 {
        self.good as f64 / time.as_secs_f64()
    }

    /// The counts as pairs of a report; latencies of answers and refusals in milliseconds.
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

    /// The last line of a run.
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

/// Largest relative deviation of a backlogged workspace from its weighted share. What workspaces
/// that are not backlogged leave is shared among the others by weight.
pub fn share_error(rows: &[Row], shares: &[u32]) -> f64 {
    let total: u64 = rows.iter().map(|row| row.answered).sum();
    let mut left = total as f64;
    let mut fair = vec![0.0; rows.len()];
    let mut open: Vec<usize> = (0..rows.len()).collect();
    loop {
        let weights: f64 = open.iter().map(|i| f64::from(shares[*i])).sum();
        let part = |i: usize| left * f64::from(shares[i]) / weights;
        let fits = open.iter().position(|i| rows[*i].sent as f64 <= part(*i));
        let Some(position) = fits else {
            open.iter().for_each(|i| fair[*i] = part(*i));
            break;
        };
        let index = open.remove(position);
        left -= rows[index].sent as f64;
    }
    let errors = open.iter().map(|i| (rows[*i].answered as f64 / fair[*i].max(1.0) - 1.0).abs());
    errors.fold(0.0, f64::max)
}

/// Counters of the entries.
#[derive(Clone, Copy)]
pub struct Counters {
    started: f64,
    attempts: f64,
}

impl Counters {
    /// The counters now; all entries of the process share them.
    pub fn read() -> Counters {
        let page = telemetry::install().render();
        Counters {
            started: value(&page, "carawaypaddle_started_total"),
            attempts: value(&page, "carawaypaddle_attempts_total"),
        }
    }

    /// Attempts for each request that was tried at all.
    pub fn ratio_since(&self, before: &Counters) -> f64 {
        (self.attempts - before.attempts) / (self.started - before.started).max(1.0)
    }

    /// The growth of the counters as pairs of a report.
    pub fn pairs_since(&self, before: &Counters) -> Vec<(&'static str, Value)> {
        vec![
            ("started", (self.started - before.started).into()),
            ("attempts", (self.attempts - before.attempts).into()),
        ]
    }
}

fn value(page: &str, name: &str) -> f64 {
    let line = page.lines().find(|line| line.starts_with(name));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or(0.0)
}
