//! The exchange of usage with the other entries, and the parts that follow from it.

use std::time::Instant;

use limits::LocalQuotas;
use manifest::{Role, Vm, VmState};
use proto::PeerClient;
use routing::SlotQuota;

use crate::core::Core;

impl Core {
    /// Live entries by the VM list, this one included.
    pub(crate) fn live_entries(&self) -> usize {
        self.pools.entries().len().max(1)
    }

    /// Ends a round of the exchange if it is due, and recomputes the parts.
    pub(crate) fn exchange_usage(&mut self, now: Instant) {
        let entries = self.live_entries();
        let Some(news) = self.usage.tick(entries, now) else { return self.set_parts(now) };
        let me = &self.node.identity.settings.vm;
        let others: Vec<&Vm> = self.pools.entries().iter().filter(|vm| vm.id != *me).collect();
        if !others.is_empty() {
            let vm = others[self.rng.usize(..others.len())].clone();
            self.node.peers.call(
                vm.control,
                move |client| async move { client.usage(news).await },
                // Sums that are lost are made up for by the next epoch.
                |_| {},
            );
        }
        self.set_parts(now);
    }

    pub(crate) fn set_parts(&mut self, now: Instant) {
        let manifest = self.node.documents.manifest();
        self.parts = match self.usage.totals(now) {
            Some(totals) => LocalQuotas::from_totals(manifest, totals),
            None => LocalQuotas::even(self.live_entries()),
        };
        for service in &manifest.services {
            let fair = self.parts.slot_fraction(&service.id);
            let even = 1.0 / self.live_entries() as f64;
            // A subset's endpoints have more slots for each of the entries that use them.
            let spread = self.pools.spread(&service.id);
            let part = (fair.unwrap_or(even) * spread).min(1.0);
            self.router.set_slot_quota(
                &service.id,
                SlotQuota { fraction: part, may_borrow: fair.is_none() },
            );
            let slots = f64::from(self.router.total_slots(&service.id));
            if let Some(line) = self.lines.get_mut(&service.id) {
                line.cap = fair.map(|_| (slots * part).ceil().max(1.0) as u32);
            }
        }
    }
}

/// Whether a VM is an entry in use.
pub(crate) fn is_live_entry(vm: &Vm) -> bool {
    vm.role == Role::Entry && vm.state == VmState::Live
}
