//! What was sent, answered and run, with the time since the start of the script.

use std::{
    collections::HashMap,
    fmt::Write as _,
    sync::{Arc, Mutex},
    time::Instant,
};

/// A run of a request at a runner.
#[derive(Debug, Clone)]
pub struct Run {
    pub runner: String,
    pub began_ms: u64,
    /// `None` if the runner ended before its answer was written.
    pub answered_ms: Option<u64>,
}

#[derive(Default)]
struct Events {
    lines: Vec<(u64, String)>,
    /// Runs by the id of their request.
    runs: HashMap<String, Vec<Run>>,
}

#[derive(Clone)]
pub struct Record {
    start: Instant,
    events: Arc<Mutex<Events>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), events: Arc::default() }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl Into<String>) {
        let at = self.now();
        self.events.lock().unwrap().lines.push((at, text.into()));
    }

    pub fn run_began(&self, id: &str, runner: &str) {
        self.line(format!("run      id={id} runner={runner}"));
        let run = Run { runner: runner.to_owned(), began_ms: self.now(), answered_ms: None };
        self.events.lock().unwrap().runs.entry(id.to_owned()).or_default().push(run);
    }

    pub fn run_answered(&self, id: &str, runner: &str) {
        self.line(format!("ran      id={id} runner={runner}"));
        let at = self.now();
        let mut events = self.events.lock().unwrap();
        let runs = events.runs.get_mut(id).into_iter().flatten();
        runs.filter(|run| run.runner == runner).for_each(|run| run.answered_ms = Some(at));
    }

    pub fn runs(&self, id: &str) -> Vec<Run> {
        self.events.lock().unwrap().runs.get(id).cloned().unwrap_or_default()
    }

    /// All lines, in the order of their times.
    pub fn text(&self) -> String {
        let mut events = self.events.lock().unwrap();
        events.lines.sort_by_key(|(at, _)| *at);
        events.lines.iter().fold(String::new(), |mut text, (at, line)| {
            let _ = writeln!(text, "{:>8.3} {line}", *at as f64 / 1000.0);
            text
        })
    }
}
