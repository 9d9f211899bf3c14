//! The manifest and the VM list in force. Revisions only increase.

use base::{Digest, Revision};
use manifest::{Manifest, ManifestError, VmList};
use proto::{DocumentKind, DocumentReply, DocumentRequest};

use crate::history::History;

/// Result of offering a document.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferResult {
    /// The document is now in force.
    Accepted(Revision),
    /// It is not newer than the one in force, or it was refused before.
    NotNewer,
    /// It is invalid; the one in force stays.
    Refused {
        /// Digest of the refused document.
        digest: Digest,
        /// The problems that were found.
        reason: String,
    },
    /// The changes do not apply to the document in force, or do not result in the stated digest.
    /// The full document has to be requested.
    Mismatch,
}

/// The documents in force at a process.
#[derive(Debug, Clone, Default)]
pub struct Documents {
    manifest: Manifest,
    manifest_text: String,
    manifest_history: History<manifest::ManifestDelta>,
    vms: VmList,
    vms_text: String,
    vms_history: History<manifest::VmsDelta>,
    /// Digest and problems of the last refused manifest, until a newer one is accepted.
    refused: Option<(Digest, String)>,
}

impl Documents {
    /// Returns the manifest in force.
    pub fn manifest(&self) -> &Manifest {
        &self.manifest
    }

    /// Returns the VM list in force.
    pub fn vms(&self) -> &VmList {
        &self.vms
    }

    /// Returns the problems of the last refused manifest.
    pub fn refused(&self) -> Option<&str> {
        self.refused.as_ref().map(|(_, why)| why.as_str())
    }

    /// Offers a full document from the platform or a peer.
    pub fn offer(&mut self, kind: DocumentKind, text: &[u8]) -> OfferResult {
        match kind {
            DocumentKind::Manifest => self.offer_manifest(text),
            DocumentKind::Vms => match VmList::parse(text) {
                Ok(vms) => self.accept_vms(vms),
                Err(err) => {
                    OfferResult::Refused { digest: Digest::of(text), reason: err.to_string() }
                }
            },
        }
    }

    fn offer_manifest(&mut self, text: &[u8]) -> OfferResult {
        let digest = Digest::of(text);
        if self.refused.as_ref().is_some_and(|(refused, _)| *refused == digest) {
            return OfferResult::NotNewer;
        }
        match Manifest::parse(text) {
            Ok(manifest) => self.accept_manifest(manifest),
            Err(err) => self.refuse(digest, &err),
        }
    }

    fn refuse(&mut self, digest: Digest, err: &ManifestError) -> OfferResult {
        let why = err.to_string();
        self.refused = Some((digest, why.clone()));
        OfferResult::Refused { digest, reason: why }
    }

    /// Offers the reply of a peer: a full document or changes.
    pub fn offer_reply(&mut self, kind: DocumentKind, reply: DocumentReply) -> OfferResult {
        match reply {
            DocumentReply::Current => OfferResult::NotNewer,
            DocumentReply::Whole(text) => self.offer(kind, text.as_bytes()),
            DocumentReply::Manifest(deltas) => self.offer_manifest_deltas(&deltas),
            DocumentReply::Vms(deltas) => self.offer_vms_deltas(&deltas),
        }
    }

    fn offer_manifest_deltas(&mut self, deltas: &[manifest::ManifestDelta]) -> OfferResult {
        let Some(last) = deltas.last() else { return OfferResult::NotNewer };
        let refused = self.refused.as_ref().is_some_and(|(refused, _)| *refused == last.digest);
        if refused || last.revision <= self.manifest.revision {
            return OfferResult::NotNewer;
        }
        let mut updated = self.manifest.clone();
        for delta in deltas {
            if delta.base != updated.revision {
                return OfferResult::Mismatch;
            }
            updated = updated.apply(delta);
        }
        if Digest::of(updated.to_text().as_bytes()) != last.digest {
            return OfferResult::Mismatch;
        }
        let problems = updated.validate();
        if !problems.is_empty() {
            return self.refuse(last.digest, &ManifestError { problems });
        }
        self.accept_manifest(updated)
    }

    fn offer_vms_deltas(&mut self, deltas: &[manifest::VmsDelta]) -> OfferResult {
        let Some(last) = deltas.last() else { return OfferResult::NotNewer };
        if last.revision <= self.vms.revision {
            return OfferResult::NotNewer;
        }
        let mut updated = self.vms.clone();
        for delta in deltas {
            if delta.base != updated.revision {
                return OfferResult::Mismatch;
            }
            updated = updated.apply(delta);
        }
        if Digest::of(updated.to_text().as_bytes()) != last.digest {
            return OfferResult::Mismatch;
        }
        self.accept_vms(updated)
    }

    fn accept_manifest(&mut self, manifest: Manifest) -> OfferResult {
        if manifest.revision <= self.manifest.revision {
            return OfferResult::NotNewer;
        }
        let text = manifest.to_text();
        let delta = self.manifest.delta(&manifest, Digest::of(text.as_bytes()));
        self.manifest_history.push(delta.base, delta.revision, delta);
        self.refused = None;
        self.manifest = manifest;
        self.manifest_text = text;
        OfferResult::Accepted(self.manifest.revision)
    }

    fn accept_vms(&mut self, vms: VmList) -> OfferResult {
        if vms.revision <= self.vms.revision {
            return OfferResult::NotNewer;
        }
        let text = vms.to_text();
        let delta = self.vms.delta(&vms, Digest::of(text.as_bytes()));
        self.vms_history.push(delta.base, delta.revision, delta);
        self.vms = vms;
        self.vms_text = text;
        OfferResult::Accepted(self.vms.revision)
    }

    /// Answers a peer's request for a newer document.
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

    /// Returns the requests for documents of which a peer with the given revisions has newer ones.
    pub fn requests_for_newer(&self, manifest: Revision, vms: Revision) -> Vec<DocumentRequest> {
        let mut requests = Vec::new();
        if manifest > self.manifest.revision {
            let have = self.manifest.revision;
            requests.push(DocumentRequest { kind: DocumentKind::Manifest, have });
        }
        if vms > self.vms.revision {
            requests.push(DocumentRequest { kind: DocumentKind::Vms, have: self.vms.revision });
        }
        requests
    }
}

#[cfg(test)]
mod tests;
