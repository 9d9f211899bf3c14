//! Finds parts of prompts that crash endpoints.
//!
//! A part that crashes each endpoint that begins to write an answer on it is found in many requests, no
//! two alike, of which none is ever answered. A part that was merely in progress at crashes is cleared
//! by the next answer to any request with it.

use std::{
    collections::{HashMap, HashSet, VecDeque},
    time::{Duration, Instant},
};

use base::number;

number! {
    /// Identifies a part of a prompt within a service.
    PartKey(u64)
}

/// Limits of the part tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PartTrackerSettings {
    /// Number of crashes, and of different requests lost at them, after which a part is refused.
    pub crash_limit: usize,
    /// Crashes that follow each other more quickly count as one, as one fault may crash many endpoints.
    pub crash_gap: Duration,
    /// Time that a part is remembered after its last crash.
    pub expiry: Duration,
    /// Maximum number of tracked parts.
    pub max_parts: usize,
    /// Maximum number of refused parts. More of them point to the endpoints rather than to the requests.
    pub max_refused: usize,
}

impl Default for PartTrackerSettings {
    fn default() -> PartTrackerSettings {
        PartTrackerSettings {
            crash_limit: 3,
            crash_gap: Duration::from_millis(200),
            expiry: Duration::from_secs(120),
            max_parts: 1024,
            max_refused: 8,
        }
    }
}

/// A request that an endpoint had not begun to answer when it crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LostRequest {
    /// Identifies the request. Repeats of a request have the same value.
    pub request: u64,
    /// The parts of its prompt that other requests may share, in order.
    pub parts: Vec<PartKey>,
    /// When it was lost.
    pub at: Instant,
}

/// Maximum number of losses that are remembered for a part.
const MAX_LOSSES_PER_PART: usize = 16;
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 256;

/// One or more endpoints that crashed at about the same time.
#[derive(Debug, Clone, Copy)]
struct Crash {
    id: u64,
    began: Instant,
    /// Whether a part that is refused was in progress, so that no other one is to blame.
    is_explained: bool,
}

/// A request with some part that was lost at a crash.
#[derive(Debug, Clone, Copy)]
struct Loss {
    crash: u64,
    request: u64,
    at: Instant,
}

/// The losses of requests with one part since it was last answered.
#[derive(Debug, Clone, Default)]
struct PartHistory(VecDeque<Loss>);

impl PartHistory {
    fn push(&mut self, loss: Loss) {
        if self.0.len() >= MAX_LOSSES_PER_PART {
            self.0.pop_front();
        }
        self.0.push_back(loss);
    }

    fn last(&self) -> Option<Instant> {
        self.0.iter().map(|loss| loss.at).max()
    }

    /// Number of crashes with different requests.
    fn crash_count(&self) -> usize {
        let crashes: HashSet<u64> = self.0.iter().map(|loss| loss.crash).collect();
        let requests: HashSet<u64> = self.0.iter().map(|loss| loss.request).collect();
        crashes.len().min(requests.len())
    }
}

/// Counts crashes by the parts of the prompts that were about to be answered.
#[derive(Debug)]
pub struct PartTracker {
    settings: PartTrackerSettings,
    crashes: VecDeque<Crash>,
    next_id: u64,
    histories: HashMap<PartKey, PartHistory>,
    /// When parts that were suspected were last answered.
    answered: HashMap<PartKey, Instant>,
    /// Refused parts, with the times of their last crashes.
    refused: HashMap<PartKey, Instant>,
}

impl PartTracker {
    /// Creates an empty tracker.
    pub fn new(settings: PartTrackerSettings) -> PartTracker {
        PartTracker {
            settings,
            crashes: VecDeque::new(),
            next_id: 0,
            histories: HashMap::new(),
            answered: HashMap::new(),
            refused: HashMap::new(),
        }
    }

    /// Records a lost request. Returns the part that is refused from now on, if there is one.
    pub fn record_loss(&mut self, lost: &LostRequest, now: Instant) -> Option<PartKey> {
        if now.saturating_duration_since(lost.at) >= self.settings.expiry {
            return None;
        }
        let crash = self.crash_at(lost.at);
        if self.record_refused(lost) {
            self.explain(&HashSet::from([crash.id]));
            return None;
        }
        if crash.is_explained {
            return None;
        }
        for part in &lost.parts {
            self.push_loss(*part, Loss { crash: crash.id, request: lost.request, at: lost.at });
        }
        let guilty = self.guilty_part(&lost.parts)?;
        self.refuse(guilty, lost.at);
        Some(guilty)
    }

    /// Returns the crash at a time, a new one if none is known.
    fn crash_at(&mut self, at: Instant) -> Crash {
        let gap = self.settings.crash_gap;
        let is_near = |crash: &&Crash| {
            at.saturating_duration_since(crash.began) < gap
                && crash.began.saturating_duration_since(at) < gap
        };
        if let Some(crash) = self.crashes.iter().rev().find(is_near) {
            return *crash;
        }
        let crash = Crash { id: self.next_id, began: at, is_explained: false };
        self.next_id += 1;
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        self.crashes.push_back(crash);
        crash
    }

    /// Records that a request with refused parts was lost. Returns false if it has none.
    fn record_refused(&mut self, lost: &LostRequest) -> bool {
        let mut has_refused = false;
        for part in &lost.parts {
            if let Some(last) = self.refused.get_mut(part) {
                *last = lost.at.max(*last);
                has_refused = true;
            }
        }
        has_refused
    }

    fn push_loss(&mut self, part: PartKey, loss: Loss) {
        if self.answered.get(&part).is_some_and(|answered| *answered >= loss.at) {
            return;
        }
        if self.histories.len() >= self.settings.max_parts && !self.histories.contains_key(&part) {
            self.drop_oldest();
        }
        self.histories.entry(part).or_default().push(loss);
    }

    fn drop_oldest(&mut self) {
        let oldest = self.histories.iter().min_by_key(|(_, history)| history.last());
        if let Some(part) = oldest.map(|(part, _)| *part) {
            self.histories.remove(&part);
        }
    }

    /// Returns the part to blame, if it was lost often enough: the one that was lost most often, and of
    /// several the last one, which fewer requests share.
    fn guilty_part(&self, parts: &[PartKey]) -> Option<PartKey> {
        if self.refused.len() >= self.settings.max_refused {
            return None;
        }
        let count = |part: &PartKey| self.histories.get(part).map_or(0, PartHistory::crash_count);
        let guilty = parts.iter().max_by_key(|part| count(part))?;
        (count(guilty) >= self.settings.crash_limit).then_some(*guilty)
    }

    fn refuse(&mut self, part: PartKey, at: Instant) {
        self.refused.insert(part, at);
        let history = self.histories.remove(&part).unwrap_or_default();
        let crashes = history.0.iter().map(|loss| loss.crash).collect();
        self.explain(&crashes);
    }

    /// Takes crashes off all histories, as a refused part explains them.
    fn explain(&mut self, explained: &HashSet<u64>) {
        for crash in self.crashes.iter_mut().filter(|crash| explained.contains(&crash.id)) {
            crash.is_explained = true;
        }
        self.histories.retain(|_, history| {
            history.0.retain(|loss| !explained.contains(&loss.crash));
            !history.0.is_empty()
        });
    }

    /// Records that a request with a part was answered at least in part. Returns whether that clears the
    /// part of an earlier loss.
    pub fn record_answer(&mut self, part: PartKey, at: Instant) -> bool {
        let was_refused = self.refused.get(&part).is_some_and(|last| *last <= at);
        if was_refused {
            self.refused.remove(&part);
        }
        let is_cleared = self.clear_losses(part, at) || was_refused;
        if is_cleared {
            self.answered.insert(part, at);
        }
        is_cleared
    }

    /// Forgets the losses of requests with a part up to `at`. Returns whether there were any.
    fn clear_losses(&mut self, part: PartKey, at: Instant) -> bool {
        let Some(history) = self.histories.get_mut(&part) else { return false };
        let before = history.0.len();
        history.0.retain(|loss| loss.at > at);
        let is_cleared = history.0.len() < before;
        if history.0.is_empty() {
            self.histories.remove(&part);
        }
        is_cleared
    }

    /// Records that another process refuses a part that last crashed an endpoint at `at`. Returns whether
    /// the part is refused from now on.
    ///
    /// What is told does not prolong a refusal, and is not taken over late in its time. Otherwise processes
    /// that tell each other would keep a refusal for good, as each hears of it a little later.
    pub fn record_remote_refusal(&mut self, part: PartKey, at: Instant, now: Instant) -> bool {
        let is_answered = self.answered.get(&part).is_some_and(|answered| *answered >= at);
        let is_known = self.refused.contains_key(&part);
        let is_full = self.refused.len() >= self.settings.max_refused;
        if !self.is_tellable(at, now) || is_answered || is_known || is_full {
            return false;
        }
        self.refuse(part, at);
        true
    }

    /// Whether other processes may take over a refusal whose last crash was at `at`.
    fn is_tellable(&self, at: Instant, now: Instant) -> bool {
        now.saturating_duration_since(at) < self.settings.expiry / 2
    }

    /// Whether no part is suspected or refused.
    pub fn is_empty(&self) -> bool {
        self.histories.is_empty() && self.refused.is_empty()
    }

    /// Whether a part is refused.
    pub fn is_refused(&self, part: PartKey) -> bool {
        self.refused.contains_key(&part)
    }

    /// The refused parts to tell other processes of, with the times of their last crashes.
    pub fn refusals_to_tell(&self, now: Instant) -> impl Iterator<Item = (PartKey, Instant)> {
        let refused = self.refused.iter().map(|(part, last)| (*part, *last));
        refused.filter(move |(_, last)| self.is_tellable(*last, now))
    }

    /// Forgets what has expired.
    pub fn expire(&mut self, now: Instant) {
        let expiry = self.settings.expiry;
        let is_recent = |at: Instant| now.saturating_duration_since(at) < expiry;
        self.crashes.retain(|crash| is_recent(crash.began));
        self.histories.retain(|_, history| history.last().is_some_and(is_recent));
        self.answered.retain(|_, at| is_recent(*at));
        self.refused.retain(|_, last| is_recent(*last));
    }
}

#[cfg(test)]
mod tests;
