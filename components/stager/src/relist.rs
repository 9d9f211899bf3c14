//! Replaces a list of digests that is in doubt by a newer one, from a neighbour or from the origin.

use std::{net::Ipv4Addr, rc::Rc};

use base::Digest;
use bytes::Bytes;
use catalog::WeightsVersion;
use peering::Relisted;
use slog::{info, warn};
use tokio::task::spawn_local;

use crate::{
    fleet_view::WeightsLayout,
    shared::{Download, Stager, now},
};

impl Stager {
    /// Records content of a piece that does not match the list.
    pub(crate) fn record_mismatch(&self, version: WeightsVersion, piece: u32, body: Bytes) {
        let is_doubted = self.with_download(version, |download| {
            let is_doubted = download.doubts.record(piece, body, now());
            if is_doubted {
                download.scheduler.hold_back(piece);
            }
            is_doubted
        });
        if is_doubted == Some(true) {
            warn!(self.log, "digest is in doubt"; "version" => version.0, "piece" => piece);
            self.fetch_wakeup.notify_one();
        }
    }

    /// Handles a neighbour's news that it corrected a list.
    pub(crate) fn handle_relisted(&self, from: Ipv4Addr, relisted: Relisted) {
        let is_newer = self.with_download(WeightsVersion(relisted.version), |download| {
            let known = download.newer_list.map_or(download.list_revision, |(_, known)| known);
            let is_newer = !download.scheduler.is_complete() && relisted.revision > known;
            if is_newer {
                download.newer_list = Some((from, relisted.revision));
            }
            is_newer
        });
        if is_newer == Some(true) {
            self.fetch_wakeup.notify_one();
        }
    }

    /// What neighbours are to know of a list that was corrected.
    pub(crate) fn own_relisted(&self) -> Option<Relisted> {
        let download = self.download.borrow();
        let download = download.as_ref().filter(|download| download.list_revision > 0)?;
        Some(Relisted { version: download.version.0, revision: download.list_revision })
    }

    /// Fetches the list anew if a neighbour has corrected it or it is in doubt here.
    pub(crate) async fn recheck_list(self: &Rc<Stager>, version: WeightsVersion) {
        let Some(layout) = self.weights_layout() else { return };
        let newer = self.with_download(version, |download| download.newer_list.take()).flatten();
        if let Some((peer, revision)) = newer {
            let found = self.fetch_digests_from_peer(peer, version).await;
            self.correct_list(&layout, version, found, Some(revision));
        } else if self.take_recheck(version) {
            let found = self.fetch_digests_from_origin(&layout, version).await;
            self.correct_list(&layout, version, found, None);
        }
    }

    /// Whether this stager is to request the list from the origin now.
    fn take_recheck(&self, version: WeightsVersion) -> bool {
        let rank = self.fleet().zone_members.iter().position(|ip| *ip == self.ip).unwrap_or(0);
        let is_due = self.with_download(version, |download| {
            let is_due =
                !download.scheduler.is_complete() && download.doubts.is_recheck_due(rank, now());
            if is_due {
                download.doubts.record_request(now());
            }
            is_due
        });
        is_due == Some(true)
    }

    /// Uses a newer list, and the contents that match it. `revision` is that of a neighbour's list.
    fn correct_list(
        self: &Rc<Stager>,
        layout: &WeightsLayout,
        version: WeightsVersion,
        digests: Option<Vec<Digest>>,
        revision: Option<u32>,
    ) {
        let is_whole = |digests: &Vec<Digest>| digests.len() == layout.pieces as usize;
        let Some(digests) = digests.filter(is_whole) else { return };
        let matching =
            self.with_download(version, |download| replace_list(download, digests, revision));
        let Some(matching) = matching.flatten() else { return };
        info!(self.log, "list of digests corrected"; "version" => version.0,
            "pieces" => matching.len(), "copied" => revision.is_some());
        for (piece, body) in matching {
            if self.accept_piece(version, piece, body, false) {
                let (stager, layout) = (self.clone(), layout.clone());
                spawn_local(async move { stager.stage_piece(&layout, version, piece).await });
            }
        }
        self.inventory_wakeup.notify_one();
        self.fetch_wakeup.notify_one();
    }

    /// Applies `change` to the download of a version, if it is still the current one.
    fn with_download<T>(
        &self,
        version: WeightsVersion,
        change: impl FnOnce(&mut Download) -> T,
    ) -> Option<T> {
        let mut download = self.download.borrow_mut();
        download.as_mut().filter(|download| download.version == version).map(change)
    }
}

/// Replaces the list of a download and returns the contents that match now; `None` if the list is the same.
fn replace_list(
    download: &mut Download,
    mut digests: Vec<Digest>,
    revision: Option<u32>,
) -> Option<Vec<(u32, Bytes)>> {
    let own = download.digests.clone()?;
    for (n, piece) in download.pieces.iter().enumerate() {
        if piece.is_some() {
            // The piece matched this digest.
            digests[n] = own[n];
        }
    }
    let is_same = *own == digests;
    let next = download.list_revision.saturating_add(u32::from(!is_same));
    download.list_revision = revision.unwrap_or(next).max(download.list_revision);
    download.scheduler.release();
    if is_same {
        download.doubts.record_confirmed(now());
        return None;
    }
    let matching = download.doubts.take_matching(&digests);
    download.digests = Some(Rc::new(digests));
    Some(matching)
}
