//! Zones that the operator evacuated: nothing more is sent to their endpoints until they are taken back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

use base::Zone;

use crate::{Absence, state::Dispatcher};

/// A zone that was evacuated or taken back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EvacuationChange {
    /// The zone.
    pub zone: Zone,
    /// Whether it is evacuated now.
    pub is_evacuated: bool,
}

/// The zones that are evacuated.
#[derive(Debug, Clone, Default)]
pub(crate) struct Evacuations {
    /// For each zone, until when its evacuation holds that a store which came back from an older copy
    /// does not list. `None` while the store lists it.
    zones: BTreeMap<Zone, Option<Instant>>,
}

impl Evacuations {
    pub(crate) fn contains(&self, zone: &Zone) -> bool {
        self.zones.contains_key(zone)
    }

    /// Records one change of the store.
    fn record(&mut self, zone: Zone, is_evacuated: bool) -> Option<EvacuationChange> {
        let was_evacuated = match is_evacuated {
            true => self.zones.insert(zone.clone(), None).is_some(),
            false => self.zones.remove(&zone).is_some(),
        };
        (was_evacuated != is_evacuated).then_some(EvacuationChange { zone, is_evacuated })
    }

    /// Replaces all zones by those that a read of the whole store lists. An older copy may lack a newer
    /// evacuation, so zones that it does not list stay evacuated for a while.
    fn replace(&mut self, listed: BTreeSet<Zone>, absence: Absence) -> Vec<EvacuationChange> {
        let missing: Vec<Zone> =
            self.zones.keys().filter(|zone| !listed.contains(*zone)).cloned().collect();
        let mut changes = Vec::new();
        for zone in missing {
            match absence {
                Absence::Restoration { until } => {
                    self.zones.entry(zone).and_modify(|end| *end = end.or(Some(until)));
                }
                Absence::Left | Absence::Outage { .. } => changes.extend(self.record(zone, false)),
            }
        }
        changes.extend(listed.into_iter().filter_map(|zone| self.record(zone, true)));
        changes
    }

    /// Takes back the zones that were not listed again in time.
    fn end_unlisted(&mut self, now: Instant) -> Vec<EvacuationChange> {
        let due = self.zones.iter().filter(|(_, end)| end.is_some_and(|end| now >= end));
        let due: Vec<Zone> = due.map(|(zone, _)| zone.clone()).collect();
        due.into_iter().filter_map(|zone| self.record(zone, false)).collect()
    }
}

impl Dispatcher {
    /// Records that the operator evacuated a zone or took it back. Returns what is new.
    pub fn set_evacuated(&mut self, zone: Zone, is_evacuated: bool) -> Option<EvacuationChange> {
        self.evacuations.record(zone, is_evacuated)
    }

    /// Replaces all evacuated zones by those that a read of the whole store lists. `absence` says why
    /// some may be missing. Returns what is new.
    pub fn replace_evacuated(
        &mut self,
        listed: BTreeSet<Zone>,
        absence: Absence,
    ) -> Vec<EvacuationChange> {
        self.evacuations.replace(listed, absence)
    }

    /// Takes back the zones whose evacuation a restored store has not listed again in time.
    pub fn end_unlisted_evacuations(&mut self, now: Instant) -> Vec<EvacuationChange> {
        self.evacuations.end_unlisted(now)
    }

    /// The zones that are evacuated.
    pub fn evacuated_zones(&self) -> impl Iterator<Item = &Zone> {
        self.evacuations.zones.keys()
    }
}
