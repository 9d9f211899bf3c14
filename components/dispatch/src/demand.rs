//! What callers have asked of a service lately and what was sent, by urgency and workspace. Decides how
//! many slots of an engine a request leaves free for more urgent ones.

use std::{
    collections::{BTreeMap, HashMap},
    time::{Duration, Instant},
};

use base::WorkspaceId;

use crate::Urgency;

/// Time in which a count loses half of its value.
const HALF_LIFE: Duration = Duration::from_secs(2);
/// Slots of an engine that a request leaves free if all recent demand is more urgent.
const MAX_RESERVED_SLOTS: f64 = 2.0;
/// Fraction of the requests of each urgency that may use any free slot, so that none starves.
const MIN_SERVED_FRACTION: f64 = 0.3;
/// Count below which the requests of one urgency are too few to tell how they are served.
const MIN_COUNT: f64 = 1.0;
/// Number of workspaces from which those are forgotten that have asked for nothing lately.
const MAX_WORKSPACES: usize = 1024;

/// A count whose older part weighs less.
#[derive(Debug, Clone, Copy, Default)]
struct RecentCount {
    value: f64,
    at: Option<Instant>,
}

impl RecentCount {
    fn value(&self, now: Instant) -> f64 {
        let Some(at) = self.at else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.value * (-age / HALF_LIFE.as_secs_f64()).exp2()
    }

    fn add(&mut self, amount: f64, now: Instant) {
        self.value = self.value(now) + amount;
        self.at = Some(now);
    }

    /// Events per second, at a steady rate.
    fn rate(&self, now: Instant) -> f64 {
        self.value(now) * std::f64::consts::LN_2 / HALF_LIFE.as_secs_f64()
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
#[derive(Debug, Default)]
pub(crate) struct ServiceDemand {
    urgencies: BTreeMap<Urgency, UrgencyDemand>,
    /// Work that was sent for each workspace, in milliseconds of an engine.
    workspaces: HashMap<WorkspaceId, RecentCount>,
}

impl ServiceDemand {
    /// Records that a request arrived.
    pub(crate) fn record_arrival(&mut self, urgency: Urgency, now: Instant) {
        self.urgencies.entry(urgency).or_default().arrived.add(1.0, now);
    }

    /// Records that a request is sent which takes `work_ms` of an engine.
    pub(crate) fn record_sent(
        &mut self,
        urgency: Urgency,
        workspace: Option<&WorkspaceId>,
        work_ms: f64,
        now: Instant,
    ) {
        self.urgencies.entry(urgency).or_default().sent.add(1.0, now);
        let Some(workspace) = workspace else { return };
        if self.workspaces.len() >= MAX_WORKSPACES {
            self.workspaces.retain(|_, work| work.value(now) >= MIN_COUNT);
        }
        self.workspaces.entry(workspace.clone()).or_default().add(work_ms, now);
    }

    /// Slots of an engine that a request leaves free, as more urgent ones are likely to need them. None
    /// if too few of its own urgency were served lately.
    pub(crate) fn reserved_slots(&self, urgency: Urgency, now: Instant) -> f64 {
        let more_urgent: f64 =
            self.urgencies.range(..urgency).map(|(_, demand)| demand.arrived.value(now)).sum();
        if more_urgent < MIN_COUNT || self.is_starved(urgency, now) {
            return 0.0;
        }
        let all: f64 = self.urgencies.values().map(|demand| demand.arrived.value(now)).sum();
        MAX_RESERVED_SLOTS * more_urgent / all
    }

    fn is_starved(&self, urgency: Urgency, now: Instant) -> bool {
        let Some(demand) = self.urgencies.get(&urgency) else { return true };
        let (arrived, sent) = (demand.arrived.value(now), demand.sent.value(now));
        sent < MIN_SERVED_FRACTION * arrived
    }

    /// Requests of an urgency that are sent per second.
    pub(crate) fn send_rate(&self, urgency: Urgency, now: Instant) -> f64 {
        self.urgencies.get(&urgency).map_or(0.0, |demand| demand.sent.rate(now))
    }

    /// Work that was sent lately for a workspace, in milliseconds of an engine.
    pub(crate) fn recent_work(&self, workspace: Option<&WorkspaceId>, now: Instant) -> f64 {
        let work = workspace.and_then(|workspace| self.workspaces.get(workspace));
        work.map_or(0.0, |work| work.value(now))
    }
}

#[cfg(test)]
mod tests;
