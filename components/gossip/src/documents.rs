//! The documents in force. Revisions only grow.

use base::{Digest, Revision};
use manifest::{Manifest, VmList};
use proto::{DocumentKind, DocumentReply, DocumentRequest};

/// What became of a document that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Taken {
    /// It is in force now.
    Accepted(Revision),
    /// It is not newer than the one in force.
    Old,
    /// It is not good; the one in force stays.
    Refused {
        /// Its digest.
        digest: Digest,
        /// What is wrong.
        why: String,
    },
}

/// The documents of a process.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    manifest: Manifest,
    /// Text of `manifest` as published; empty before the first.
    manifest_text: String,
    vms: VmList,
    vms_text: String,
    /// Digest and problems of the last manifest that was refused, until a newer one is accepted.
    refused: Option<(Digest, String)>,
}

impl Documents {
    /// The manifest in force.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// The VM list in force.
    pub fn vms(&self) -> &VmList {
        &self.vms
    }

    /// What was wrong with the last manifest that was refused.
    pub fn refused(&self) -> Option<&str> {
        self.refused.as_ref().map(|(_, why)| why.as_str())
    }

    /// Offers a document from the platform or a peer.
    pub fn offer(&mut self, kind: DocumentKind, text: &[u8]) -> Taken {
        match kind {
            DocumentKind::Manifest => self.offer_manifest(text),
            DocumentKind::Vms => self.offer_vms(text),
        }
    }

    fn offer_manifest(&mut self, text: &[u8]) -> Taken {
        let digest = Digest::of(text);
        if self.refused.as_ref().is_some_and(|(refused, _)| *refused == digest) {
            return Taken::Old;
        }
        let manifest = match Manifest::parse(text) {
            Ok(manifest) => manifest,
            Err(err) => {
                let why = err.to_string();
                self.refused = Some((digest, why.clone()));
                return Taken::Refused { digest, why };
            }
        };
        if manifest.revision <= self.manifest.revision {
            return Taken::Old;
        }
        self.refused = None;
        self.manifest = manifest;
        self.manifest_text = String::from_utf8_lossy(text).into_owned();
        Taken::Accepted(self.manifest.revision)
    }

    fn offer_vms(&mut self, text: &[u8]) -> Taken {
        let vms: VmList = match serde_json::from_slice(text) {
            Ok(vms) => vms,
            Err(err) => {
                let why = format!("{err}; publish the VM list as JSON");
                return Taken::Refused { digest: Digest::of(text), why };
            }
        };
        if vms.revision <= self.vms.revision {
            return Taken::Old;
        }
        self.vms = vms;
        self.vms_text = String::from_utf8_lossy(text).into_owned();
        Taken::Accepted(self.vms.revision)
    }

    /// Replies to a peer that asks for a newer document.
    pub fn reply(&self, request: &DocumentRequest) -> DocumentReply {
        let (revision, text) = match request.kind {
            DocumentKind::Manifest => (self.manifest.revision, &self.manifest_text),
            DocumentKind::Vms => (self.vms.revision, &self.vms_text),
        };
        let newer = revision > request.have && !text.is_empty();
        DocumentReply { text: newer.then(|| text.clone()) }
    }

    /// What to ask a peer for that has the given revisions.
    pub fn wanted(&self, manifest: Revision, vms: Revision) -> Vec<DocumentRequest> {
        let mut wanted = Vec::new();
        if manifest > self.manifest.revision {
            let have = self.manifest.revision;
            wanted.push(DocumentRequest { kind: DocumentKind::Manifest, have });
        }
        if vms > self.vms.revision {
            wanted.push(DocumentRequest { kind: DocumentKind::Vms, have: self.vms.revision });
        }
        wanted
    }
}

#[cfg(test)]
mod tests;
