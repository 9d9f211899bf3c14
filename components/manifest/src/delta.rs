//! Deltas between two revisions of a document.

use std::collections::BTreeMap;

use base::{ArtifactId, Digest, Revision, RolloutId, ServiceId, VmId, WorkspaceId, message};

use crate::{Adapter, Manifest, Model, OriginBudget, Rollout, Service, Vm, VmList, Workspace};

message! {
    /// The entries that a newer revision sets and removes.
    pub struct Delta<E, K> {
        /// The revision that the delta applies to.
        pub base: Revision,
        /// The revision that results from applying it.
        pub revision: Revision,
        /// Digest of the whole document at `revision`.
        pub digest: Digest,
        /// Added or changed entries.
        pub set: Vec<E>,
        /// Keys of removed entries.
        pub gone: Vec<K>,
    }
}

message! {
    /// One entry of the manifest.
    #[serde(rename_all = "snake_case")]
    pub enum ManifestEntry {
        /// A workspace.
        Workspace(Workspace),
        /// A service.
        Service(Service),
        /// A model with all its versions.
        Model(Model),
        /// An adapter with all its versions.
        Adapter(Adapter),
        /// A rollout.
        Rollout(Rollout),
        /// The origin budget.
        Origin(OriginBudget),
    }
}

message! {
    /// Identifies an entry of the manifest.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum ManifestKey {
        /// A workspace.
        Workspace(WorkspaceId),
        /// A service.
        Service(ServiceId),
        /// A model.
        Model(ArtifactId),
        /// An adapter.
        Adapter(ArtifactId),
        /// A rollout.
        Rollout(RolloutId),
        /// The origin budget.
        Origin,
    }
}

/// A delta between two manifests.
pub type ManifestDelta = Delta<ManifestEntry, ManifestKey>;
/// A delta between two VM lists.
pub type VmsDelta = Delta<Vm, VmId>;

impl ManifestEntry {
    /// Returns the key that identifies this entry.
    pub fn key(&self) -> ManifestKey {
        match self {
            ManifestEntry::Workspace(w) => ManifestKey::Workspace(w.id.clone()),
            ManifestEntry::Service(s) => ManifestKey::Service(s.id.clone()),
            ManifestEntry::Model(m) => ManifestKey::Model(m.id.clone()),
            ManifestEntry::Adapter(a) => ManifestKey::Adapter(a.id.clone()),
            ManifestEntry::Rollout(r) => ManifestKey::Rollout(r.id.clone()),
            ManifestEntry::Origin(_) => ManifestKey::Origin,
        }
    }
}

impl Manifest {
    /// Sorts the entries by id, so that equal manifests serialize to the same text and
    /// digest.
    pub fn sort(&mut self) {
        self.workspaces.sort_by(|a, b| a.id.cmp(&b.id));
        self.services.sort_by(|a, b| a.id.cmp(&b.id));
        self.models.sort_by(|a, b| a.id.cmp(&b.id));
        self.adapters.sort_by(|a, b| a.id.cmp(&b.id));
        self.rollouts.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Serializes the manifest in the form that processes exchange (JSON).
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a manifest has no keys that JSON refuses")
    }

    fn entries(&self) -> BTreeMap<ManifestKey, ManifestEntry> {
        let workspaces = self.workspaces.iter().cloned().map(ManifestEntry::Workspace);
        let services = self.services.iter().cloned().map(ManifestEntry::Service);
        let models = self.models.iter().cloned().map(ManifestEntry::Model);
        let adapters = self.adapters.iter().cloned().map(ManifestEntry::Adapter);
        let rollouts = self.rollouts.iter().cloned().map(ManifestEntry::Rollout);
        let origin = [ManifestEntry::Origin(self.origin)];
        let all = workspaces.chain(services).chain(models).chain(adapters).chain(rollouts);
        all.chain(origin).map(|entry| (entry.key(), entry)).collect()
    }

    /// Computes the delta from `self` to `next`, whose text has the digest `digest`.
    pub fn delta(&self, next: &Manifest, digest: Digest) -> ManifestDelta {
        let (set, gone) = compare(self.entries(), next.entries());
        Delta { base: self.revision, revision: next.revision, digest, set, gone }
    }

    /// Returns the manifest with `delta` applied. The caller has to check its digest.
    pub fn apply(&self, delta: &ManifestDelta) -> Manifest {
        let mut entries = self.entries();
        entries.retain(|key, _| !delta.gone.contains(key));
        entries.extend(delta.set.iter().map(|entry| (entry.key(), entry.clone())));
        let mut manifest = Manifest { revision: delta.revision, ..Manifest::default() };
        for entry in entries.into_values() {
            match entry {
                ManifestEntry::Workspace(w) => manifest.workspaces.push(w),
                ManifestEntry::Service(s) => manifest.services.push(s),
                ManifestEntry::Model(m) => manifest.models.push(m),
                ManifestEntry::Adapter(a) => manifest.adapters.push(a),
                ManifestEntry::Rollout(r) => manifest.rollouts.push(r),
                ManifestEntry::Origin(o) => manifest.origin = o,
            }
        }
        manifest
    }
}

impl VmList {
    /// Serializes the list in the form that processes exchange (JSON).
    pub fn to_text(&self) -> String {
        serde_json::to_string(self).expect("a VM list has no keys that JSON refuses")
    }

    fn entries(&self) -> BTreeMap<VmId, Vm> {
        self.vms.iter().map(|vm| (vm.id.clone(), vm.clone())).collect()
    }

    /// Computes the delta from `self` to `next`, whose text has the digest `digest`.
    pub fn delta(&self, next: &VmList, digest: Digest) -> VmsDelta {
        let (set, gone) = compare(self.entries(), next.entries());
        Delta { base: self.revision, revision: next.revision, digest, set, gone }
    }

    /// Returns the list with `delta` applied. The caller has to check its digest.
    pub fn apply(&self, delta: &VmsDelta) -> VmList {
        let mut entries = self.entries();
        entries.retain(|key, _| !delta.gone.contains(key));
        entries.extend(delta.set.iter().map(|vm| (vm.id.clone(), vm.clone())));
        VmList { revision: delta.revision, vms: entries.into_values().collect() }
    }
}

fn compare<K: Ord, E: PartialEq>(old: BTreeMap<K, E>, new: BTreeMap<K, E>) -> (Vec<E>, Vec<K>) {
    let mut gone = Vec::new();
    let mut changed = new;
    for (key, entry) in old {
        match changed.get(&key) {
            None => gone.push(key),
            Some(next) if *next == entry => {
                changed.remove(&key);
            }
            Some(_) => {}
        }
    }
    (changed.into_values().collect(), gone)
}

#[cfg(test)]
mod tests;
