//! The documents in force. Revisions only grow.

use base::{Digest, Revision};
use manifest::{Manifest, ManifestError, VmList};
use proto::{DocumentKind, DocumentReply, DocumentRequest};

use crate::history::History;

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
    /// The changes do not lead from the document in force to a whole one with the stated digest; the
    /// whole document is to be asked for.
    Mismatch,
}

/// The documents of a process.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    manifest: Manifest,
    manifest_text: String,
    manifest_history: History<manifest::ManifestDelta>,
    vms: VmList,
    vms_text: String,
    vms_history: History<manifest::VmsDelta>,
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

    /// Offers a whole document from the platform or a peer.
    pub fn offer(&mut self, kind: DocumentKind, text: &[u8]) -> Taken {
        match kind {
            DocumentKind::Manifest => self.offer_manifest(text),
            DocumentKind::Vms => match VmList::parse(text) {
                Ok(vms) => self.take_vms(vms),
                Err(err) => Taken::Refused { digest: Digest::of(text), why: err.to_string() },
            },
        }
    }

    fn offer_manifest(&mut self, text: &[u8]) -> Taken {
        let digest = Digest::of(text);
        if self.refused.as_ref().is_some_and(|(refused, _)| *refused == digest) {
            return Taken::Old;
        }
        match Manifest::parse(text) {
            Ok(manifest) => self.take_manifest(manifest),
            Err(err) => self.refuse(digest, &err),
        }
    }

    fn refuse(&mut self, digest: Digest, err: &ManifestError) -> Taken {
        let why = err.to_string();
        self.refused = Some((digest, why.clone()));
        Taken::Refused { digest, why }
    }

    /// Offers what a peer replied.
    pub fn offer_reply(&mut self, kind: DocumentKind, reply: DocumentReply) -> Taken {
        match reply {
            DocumentReply::Current => Taken::Old,
            DocumentReply::Whole(text) => self.offer(kind, text.as_bytes()),
            DocumentReply::Manifest(deltas) => self.offer_manifest_deltas(&deltas),
            DocumentReply::Vms(deltas) => self.offer_vms_deltas(&deltas),
        }
    }

    fn offer_manifest_deltas(&mut self, deltas: &[manifest::ManifestDelta]) -> Taken {
        let Some(last) = deltas.last() else { return Taken::Old };
        let refused = self.refused.as_ref().is_some_and(|(refused, _)| *refused == last.digest);
        if refused || last.revision <= self.manifest.revision {
            return Taken::Old;
        }
        let mut next = self.manifest.clone();
        for delta in deltas {
            if delta.base != next.revision {
                return Taken::Mismatch;
            }
            next = next.apply(delta);
        }
        if Digest::of(next.to_text().as_bytes()) != last.digest {
            return Taken::Mismatch;
        }
        let problems = next.validate();
        if !problems.is_empty() {
            return self.refuse(last.digest, &ManifestError { problems });
        }
        self.take_manifest(next)
    }

    fn offer_vms_deltas(&mut self, deltas: &[manifest::VmsDelta]) -> Taken {
        let Some(last) = deltas.last() else { return Taken::Old };
        if last.revision <= self.vms.revision {
            return Taken::Old;
        }
        let mut next = self.vms.clone();
        for delta in deltas {
            if delta.base != next.revision {
                return Taken::Mismatch;
            }
            next = next.apply(delta);
        }
        if Digest::of(next.to_text().as_bytes()) != last.digest {
            return Taken::Mismatch;
        }
        self.take_vms(next)
    }

    fn take_manifest(&mut self, manifest: Manifest) -> Taken {
        if manifest.revision <= self.manifest.revision {
            return Taken::Old;
        }
        let text = manifest.to_text();
        let delta = self.manifest.delta(&manifest, Digest::of(text.as_bytes()));
        self.manifest_history.push(delta.base, delta.revision, delta);
        self.refused = None;
        self.manifest = manifest;
        self.manifest_text = text;
        Taken::Accepted(self.manifest.revision)
    }

    fn take_vms(&mut self, vms: VmList) -> Taken {
        if vms.revision <= self.vms.revision {
            return Taken::Old;
        }
        let text = vms.to_text();
        let delta = self.vms.delta(&vms, Digest::of(text.as_bytes()));
        self.vms_history.push(delta.base, delta.revision, delta);
        self.vms = vms;
        self.vms_text = text;
        Taken::Accepted(self.vms.revision)
    }

    /// Replies to a peer that asks for a newer document.
    pub fn reply(&self, request: &DocumentRequest) -> DocumentReply {
        let (revision, text) = match request.kind {
            DocumentKind::Manifest => (self.manifest.revision, &self.manifest_text),
            DocumentKind::Vms => (self.vms.revision, &self.vms_text),
        };
        if revision <= request.have {
            return DocumentReply::Current;
        }
        let deltas = match request.kind {
            DocumentKind::Manifest => {
                self.manifest_history.since(request.have, text.len()).map(DocumentReply::Manifest)
            }
            DocumentKind::Vms => {
                self.vms_history.since(request.have, text.len()).map(DocumentReply::Vms)
            }
        };
        deltas.unwrap_or_else(|| DocumentReply::Whole(text.clone()))
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
