//! Exchange of usage with the other entries, and the local quotas that result from it.

use std::time::Instant;

use limits::LocalQuotas;
use manifest::{Role, Vm, VmState};
use proto::PeerClient;
use routing::SlotQuota;

use crate::core::Core;

impl Core {
    /// Number of live entries on the VM list, at least 1 to include this one.
    pub(crate) fn live_entries(&self) -> usize {
        self.pools.entries().len().max(1)
    }

    /// Runs a round of the usage exchange if one is due, and recomputes the local quotas.
    pub(crate) fn exchange_usage(&mut self, now: Instant) {
        let entries = self.live_entries();
        let Some(sums) = self.usage.tick(entries, now) else { return self.update_quotas(now) };
        let me = &self.node.identity.settings.vm;
        let others: Vec<&Vm> = self.pools.entries().iter().filter(|vm| vm.id != *me).collect();
        if !others.is_empty() {
            let vm = others[self.rng.usize(..others.len())].clone();
            self.node.peers.call(
                vm.control,
                move |client| async move { client.usage(sums).await },
                // Lost sums are corrected in the next epoch.
                |_| {},
            );
        }
        self.update_quotas(now);
    }

    pub(crate) fn update_quotas(&mut self, now: Instant) {
        let manifest = self.node.documents.manifest();
        self.quotas = match self.usage.totals(now) {
            Some(totals) => LocalQuotas::from_totals(manifest, totals),
            None => LocalQuotas::even(self.live_entries()),
        };
        for service in &manifest.services {
            let fair_fraction = self.quotas.slot_fraction(&service.id);
            let even = 1.0 / self.live_entries() as f64;
            // Fewer entries share the endpoints of a subset, so each of them gets more slots.
            let spread = self.pools.spread(&service.id);
            let fraction = (fair_fraction.unwrap_or(even) * spread).min(1.0);
            self.router.set_slot_quota(
                &service.id,
                SlotQuota { fraction, may_borrow: fair_fraction.is_none() },
            );
            let slots = f64::from(self.router.total_slots(&service.id));
            if let Some(backlog) = self.backlogs.get_mut(&service.id) {
                backlog.max_in_flight =
                    fair_fraction.map(|_| (slots * fraction).ceil().max(1.0) as u32);
            }
        }
    }
}

/// Whether a VM is a live entry.
pub(crate) fn is_live_entry(vm: &Vm) -> bool {
    vm.role == Role::Entry && vm.state == VmState::Live
}
