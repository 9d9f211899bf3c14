//! What callers have asked of a service lately and what was sent, by urgency and workspace. Decides how
//! many slots of an engine a request keeps free for more urgent ones.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::WorkspaceId;

use crate::{Urgency, decay::remaining_fraction};

/// Time in which a count loses half of its value.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Slots of an engine that a request keeps free if all recent demand is more urgent.
const MAX_KEPT_FREE: f64 = 2.0;
/// Fraction of the requests of each urgency that may use any free slot, so that none starves.
const MIN_SERVED_FRACTION: f64 = 0.3;
/// Count below which the requests of one urgency are too few to tell how they are served.
const MIN_COUNT: f64 = 1.0;
/// Maximum number of workspaces whose recent work is known.
const MAX_WORKSPACES: usize = 1024;

/// Work of requests, in milliseconds of an engine that does nothing else.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Work(pub(crate) f64);

/// A count whose older part weighs less.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCount {
    value: f64,
    at: Option<Instant>,
}

impl RecentCount {
    fn value(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        self.value * remaining_fraction(now.saturating_duration_since(at), HALF_LIFE)
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value(now) + amount;
        self.at = Some(now);
    }
}

/// Recent requests of one urgency.
#[derive(Debug, Clone, Copy, Default)]
struct UrgencyDemand {
    /// First attempts that arrived.
    arrived: RecentCount,
    /// Requests that were sent.
    sent: RecentCount,
}

/// Recent demand for one service.
#[derive(Debug, Clone, Default)]
pub(crate) struct ServiceDemand {
    urgencies: BTreeMap<Urgency, UrgencyDemand>,
    /// Work that was sent for each workspace, and for callers without one.
    workspaces: HashMap<Option<WorkspaceId>, RecentCount>,
}

impl ServiceDemand {
    /// Records that a request arrived.
    pub(crate) fn record_arrival(&mut self, urgency: Urgency, now: Instant) {
        self.urgencies.entry(urgency).or_default().arrived.add(1.0, now);
    }

    /// Records that a request is sent for the first time.
    pub(crate) fn record_sent(&mut self, urgency: Urgency, now: Instant) {
        self.urgencies.entry(urgency).or_default().sent.add(1.0, now);
    }

    /// Records work that is sent for a workspace.
    pub(crate) fn record_work(
        &mut self,
        workspace: Option<&WorkspaceId>,
        work: Work,
        now: Instant,
    ) {
        let workspace = workspace.cloned();
        if self.workspaces.len() >= MAX_WORKSPACES && !self.workspaces.contains_key(&workspace) {
            self.forget_idle(now);
        }
        self.workspaces.entry(workspace).or_default().add(work.0, now);
    }

    /// Forgets the workspaces for which no more than the mean was sent lately; all if they are equal, so that
    /// there is room.
    fn forget_idle(&mut self, now: Instant) {
        let total: f64 = self.workspaces.values().map(|work| work.value(now)).sum();
        let mean = total / self.workspaces.len().max(1) as f64;
        self.workspaces.retain(|_, work| work.value(now) > mean);
    }

    /// Mean number of slots of an engine that a request keeps free, as more urgent ones are likely to
    /// need them. None if too few of its own urgency were served lately.
    pub(crate) fn kept_free(&self, urgency: Urgency, now: Instant) -> f64 {
        let more_urgent: f64 =
            self.urgencies.range(..urgency).map(|(_, demand)| demand.arrived.value(now)).sum();
        if more_urgent < MIN_COUNT || self.is_starved(urgency, now) {
            return 0.0;
        }
        let all: f64 = self.urgencies.values().map(|demand| demand.arrived.value(now)).sum();
        MAX_KEPT_FREE * more_urgent / all
    }

    /// Whether too few of the recent first attempts of an urgency were sent.
    fn is_starved(&self, urgency: Urgency, now: Instant) -> bool {
        let Some(demand) = self.urgencies.get(&urgency) else { return true };
        let (arrived, sent) = (demand.arrived.value(now), demand.sent.value(now));
        sent < MIN_SERVED_FRACTION * arrived
    }

    /// Work that was sent lately for a workspace.
    pub(crate) fn recent_work(&self, workspace: Option<&WorkspaceId>, now: Instant) -> Work {
        let work = self.workspaces.get(&workspace.cloned());
        Work(work.map_or(0.0, |work| work.value(now)))
    }
}

#[cfg(test)]
mod tests;
