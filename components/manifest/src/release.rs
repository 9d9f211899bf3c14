//! A release: the complete set of weights that a rollout serves.

use base::{ByteSize, Digest, ReleaseId};

use crate::{Manifest, Model, Rollout, Version, VersionRef};

/// One model or adapter version within a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReleasePart {
    /// Digest of the chunk list.
    pub chunks: Digest,
    /// Total size of the chunks.
    pub size: ByteSize,
}

/// A complete set of weights: a model version and perhaps an adapter version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Its id, which engines include in every response.
    pub id: ReleaseId,
    /// The model first, then the adapter.
    pub parts: Vec<ReleasePart>,
}

impl Release {
    /// Total size of all parts.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.parts.iter().map(|p| p.size.0).sum())
    }
}

impl Manifest {
    /// Returns the release that `rollout` serves, or `None` if a version is missing from the manifest.
    pub fn release(&self, rollout: &Rollout) -> Option<Release> {
        let model = self.models.iter().find(|m| m.id == rollout.model.id)?;
        let mut parts = vec![find_part(&model.versions, &rollout.model)?];
        let mut name = format!("{}@{}", rollout.model.id, rollout.model.version);
        if let Some(adapter_ref) = &rollout.adapter {
            let adapter = self.adapters.iter().find(|a| a.id == adapter_ref.id)?;
            parts.push(find_part(&adapter.versions, adapter_ref)?);
            name = format!("{name}+{}@{}", adapter_ref.id, adapter_ref.version);
        }
        Some(Release { id: name.parse().ok()?, parts })
    }
}

impl Manifest {
    /// Returns the release with the id `id` if the manifest still lists its versions.
    pub fn release_by_id(&self, id: &ReleaseId) -> Option<Release> {
        let base_name = |model: &Model, version: &Version| format!("{}@{}", model.id, version.id);
        for model in &self.models {
            for version in &model.versions {
                let name = base_name(model, version);
                let Some(suffix) = id.as_str().strip_prefix(&name) else { continue };
                let mut parts = vec![ReleasePart { chunks: version.chunks, size: version.size }];
                if suffix.is_empty() {
                    return Some(Release { id: id.clone(), parts });
                }
                if let Some(adapter) = self.adapter_part(model, suffix) {
                    parts.push(adapter);
                    return Some(Release { id: id.clone(), parts });
                }
            }
        }
        None
    }

    /// Looks up the adapter version for `model` by the suffix `+adapter@version` of a release id.
    fn adapter_part(&self, model: &Model, suffix: &str) -> Option<ReleasePart> {
        let adapters = self.adapters.iter().filter(|a| a.model == model.id);
        let versions = adapters.flat_map(|a| a.versions.iter().map(move |v| (a, v)));
        let mut matching = versions.filter(|(a, v)| suffix == format!("+{}@{}", a.id, v.id));
        matching.next().map(|(_, v)| ReleasePart { chunks: v.chunks, size: v.size })
    }
}

fn find_part(versions: &[Version], wanted: &VersionRef) -> Option<ReleasePart> {
    let version = versions.iter().find(|v| v.id == wanted.version)?;
    Some(ReleasePart { chunks: version.chunks, size: version.size })
}
