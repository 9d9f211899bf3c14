//! A release: the complete set of weights that a rollout serves.

use base::{ByteSize, Digest, ReleaseId};

use crate::{Manifest, Rollout, Version, VersionRef};

/// One model or adapter version within a release.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Digest of the chunk list.
    pub chunks: Digest,
    /// Bytes of all chunks.
    pub size: ByteSize,
}

/// A complete set of weights: a model version and perhaps an adapter version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Release {
    /// Its name, which engines state with each answer.
    pub id: ReleaseId,
    /// The model first, then the adapter.
    pub parts: Vec<Part>,
}

impl Release {
    /// Bytes of all parts.
    pub fn size(&self) -> ByteSize {
        ByteSize(self.parts.iter().map(|p| p.size.0).sum())
    }
}

impl Manifest {
    /// The release that `rollout` serves; `None` if a version is missing from the manifest.
    pub fn release(&self, rollout: &Rollout) -> Option<Release> {
        let model = self.models.iter().find(|m| m.id == rollout.model.id)?;
        let mut parts = vec![part(&model.versions, &rollout.model)?];
        let mut name = format!("{}@{}", rollout.model.id, rollout.model.version);
        if let Some(adapter_ref) = &rollout.adapter {
            let adapter = self.adapters.iter().find(|a| a.id == adapter_ref.id)?;
            parts.push(part(&adapter.versions, adapter_ref)?);
            name = format!("{name}+{}@{}", adapter_ref.id, adapter_ref.version);
        }
        Some(Release { id: name.parse().ok()?, parts })
    }
}

fn part(versions: &[Version], wanted: &VersionRef) -> Option<Part> {
    let version = versions.iter().find(|v| v.id == wanted.version)?;
    Some(Part { chunks: version.chunks, size: version.size })
}
