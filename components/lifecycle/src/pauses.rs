//! Detects times in which the process did not run: the VM was frozen or suspended.

use std::{
    collections::VecDeque,
    time::{Duration, Instant},
};

use rustix::time::{ClockId, clock_gettime};

/// Number of remembered pauses. More do not fit into the time of one watch of the store.
const KEPT_PAUSES: usize = 16;

/// Time since the VM booted, suspensions included. `Instant` does not count those.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootTime(Duration);

impl BootTime {
    /// Reads the clock of the VM.
    pub fn now() -> BootTime {
        let time = clock_gettime(ClockId::Boottime);
        BootTime(Duration::new(time.tv_sec as u64, time.tv_nsec as u32))
    }

    /// Returns the time since then, suspensions included.
    pub fn elapsed(self) -> Duration {
        BootTime::now().0.saturating_sub(self.0)
    }
}

/// A time in which the process did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pause {
    /// When the process was last seen to run before.
    began: Instant,
    /// When it was first seen to run again.
    ended: Instant,
    /// Total length.
    pub length: Duration,
    /// Part of the length that `Instant` did not count.
    pub uncounted: Duration,
}

impl Pause {
    /// A time that was read before the end of the pause, moved back by what was not counted: the time
    /// since then is right again.
    pub fn corrected(&self, at: Instant) -> Instant {
        match at < self.ended {
            true => at.checked_sub(self.uncounted).unwrap_or(at),
            false => at,
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Observation {
    at: Instant,
    boot: BootTime,
}

/// The last pauses of the process. A periodic task calls `observe`; a longer gap between two calls
/// than that task explains is a pause. Whoever keeps times that were read before a pause corrects them.
#[derive(Debug)]
pub struct Pauses {
    /// Maximum time between two observations of a process that runs.
    max_gap: Duration,
    last: Observation,
    /// In ascending order, with times as they were read.
    recent: VecDeque<Pause>,
}

impl Pauses {
    /// Detects gaps between observations that are longer than `max_gap`. The process runs now.
    pub fn new(max_gap: Duration, at: Instant, boot: BootTime) -> Pauses {
        Pauses { max_gap, last: Observation { at, boot }, recent: VecDeque::new() }
    }

    /// Records that the process runs. Returns the pause that has just ended, if there was one.
    pub fn observe(&mut self, at: Instant, boot: BootTime) -> Option<Pause> {
        let last = std::mem::replace(&mut self.last, Observation { at, boot });
        let counted = at.saturating_duration_since(last.at);
        let uncounted = boot.0.saturating_sub(last.boot.0).saturating_sub(counted);
        let length = counted + uncounted;
        if length <= self.max_gap {
            return None;
        }
        let pause = Pause { began: last.at, ended: at, length, uncounted };
        if self.recent.len() == KEPT_PAUSES {
            self.recent.pop_front();
        }
        self.recent.push_back(pause);
        Some(pause)
    }

    /// A time as it was read, corrected by all pauses since.
    pub fn corrected(&self, at: Instant) -> Instant {
        self.recent.iter().fold(at, |at, pause| pause.corrected(at))
    }

    /// The earliest time at which something can have happened that is learned at `now`, if all that
    /// happened before `known_until` is known: `now`, unless the process was paused in between. `now`
    /// must have been observed, and `known_until` corrected.
    pub fn learned_since(&self, known_until: Instant, now: Instant) -> Instant {
        let first = self.recent.iter().find(|pause| self.corrected(pause.ended) > known_until);
        first.map_or(now, |pause| self.corrected(pause.began).max(known_until))
    }
}

#[cfg(test)]
mod tests;
