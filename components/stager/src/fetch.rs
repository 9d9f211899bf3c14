//! Downloads the newest weights and uploads them to the endpoint; each piece is verified by its
//! digest.

use std::{ops::ControlFlow, rc::Rc, time::Duration};

use base::Digest;
use bytes::Bytes;
use catalog::WeightsVersion;
use http::{Method, StatusCode};
use metrics::counter;
use peering::{PeerRequest, REQUEST_TIMEOUT};
use platform::weights::{decode_manifest, manifest_path, piece_path};
use slog::{info, warn};
use telemetry::names;
use tokio::{
    sync::watch,
    task::spawn_local,
    time::{Instant, sleep, timeout},
};
use transport::request;

use crate::{
    Fetch, FetchFailure, Source,
    fleet_view::WeightsLayout,
    open_order::Weights,
    shared::{Stager, now},
};

/// Maximum size of a list of digests in bytes.
const MAX_DIGESTS_BYTES: usize = 1 << 20;
/// Maximum size of a piece in bytes.
const MAX_PIECE_BYTES: usize = 16 << 20;
/// Maximum time between checks for pieces to fetch, while pieces are missing.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum time between checks; messages of neighbours that arrive meanwhile are handled together.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum time between checks while no piece is missing; news of another version wakes the task.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum age of a version of which no piece can be staged anywhere yet.
const RECENTLY_NAMED: Duration = Duration::from_millis(1500);
/// Number of mismatching staged pieces after which, if none has matched, all staged pieces are taken to
/// belong to another version.
const MAX_LEADING_MISMATCHES: usize = 6;
/// Size of a digest in bytes.
const DIGEST_BYTES: usize = 32;

impl Stager {
    /// Fetches pieces until the task is dropped.
    pub(crate) async fn fetch_loop(self: Rc<Stager>) {
        loop {
            // Whether notified or timed out, everything is checked again.
            let interval = if self.is_downloading() { CHECK_INTERVAL } else { IDLE_CHECK_INTERVAL };
            let _ = timeout(interval, self.fetch_wakeup.notified()).await;
            self.start_newest_download();
            let Some(version) = self.download_version() else { continue };
            if self.needs_digests() {
                self.fetch_digests(version).await;
                continue;
            }
            self.recheck_list(version).await;
            self.start_fetches(version);
            sleep(MIN_CHECK_INTERVAL).await;
        }
    }

    pub(crate) fn download_version(&self) -> Option<WeightsVersion> {
        self.download.borrow().as_ref().map(|download| download.version)
    }

    fn needs_digests(&self) -> bool {
        self.download.borrow().as_ref().is_some_and(|download| download.digests.is_none())
    }

    /// Fetches the digests of a version from a neighbour or the origin.
    async fn fetch_digests(self: &Rc<Stager>, version: WeightsVersion) {
        let Some(layout) = self.weights_layout() else { return };
        let found = match self.neighbour_with_digests(version) {
            Some(peer) => self.fetch_digests_from_peer(peer, version).await,
            None if self.is_digest_fetcher() => {
                let found = self.fetch_digests_from_origin(&layout, version).await;
                self.record_list_answer(version, found.is_some());
                found
            }
            None => None,
        };
        let Some(digests) = found.filter(|digests| digests.len() == layout.pieces as usize) else {
            sleep(self.settings.retry_delay).await;
            return;
        };
        if let Some(download) = self.download.borrow_mut().as_mut()
            && download.version == version
        {
            download.digests = Some(Rc::new(digests));
            // Whoever fetched the list got it from the origin.
            download.scheduler.record_list_answer(true, now());
        }
        self.piece_arrived.notify_waiters();
        self.inventory_wakeup.notify_one();
        let is_first = !self.looked_back.replace(true);
        if is_first {
            self.look_for_open_order(&layout, version).await;
        }
        if !self.is_recently_named(version) {
            self.reuse_staged(&layout, version).await;
        }
        if is_first {
            self.inherit_newest().await;
        }
        self.fetch_wakeup.notify_one();
    }

    fn neighbour_with_digests(&self, version: WeightsVersion) -> Option<std::net::Ipv4Addr> {
        let neighbours = self.neighbours.borrow();
        let known = neighbours.iter().filter(|(_, (h, _))| h.version == version.0 && h.digests);
        let known: Vec<std::net::Ipv4Addr> = known.map(|(ip, _)| *ip).collect();
        if known.is_empty() { None } else { Some(known[fastrand::usize(..known.len())]) }
    }

    /// Whether this stager fetches the digests from the origin.
    fn is_digest_fetcher(&self) -> bool {
        let rank = self.fleet().zone_members.iter().position(|ip| *ip == self.ip).unwrap_or(0);
        let download = self.download.borrow();
        download.as_ref().is_some_and(|download| download.scheduler.may_fetch_digests(rank, now()))
    }

    /// Records whether the origin sent the list of digests.
    fn record_list_answer(&self, version: WeightsVersion, is_sent: bool) {
        if let Some(download) = self.download.borrow_mut().as_mut()
            && download.version == version
        {
            download.scheduler.record_list_answer(is_sent, now());
        }
    }

    pub(crate) async fn fetch_digests_from_peer(
        &self,
        peer: std::net::Ipv4Addr,
        version: WeightsVersion,
    ) -> Option<Vec<Digest>> {
        let addr = self.process.borrow().peer_addr(peer.into());
        let path = PeerRequest::Digests(version.0).path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let reply = self.pool.call(addr, request, MAX_DIGESTS_BYTES, deadline).await.ok()?;
        if reply.status != StatusCode::OK {
            return None;
        }
        let digests = reply.body.chunks_exact(DIGEST_BYTES);
        digests.map(|bytes| bytes.try_into().ok().map(Digest)).collect()
    }

    pub(crate) async fn fetch_digests_from_origin(
        &self,
        layout: &WeightsLayout,
        version: WeightsVersion,
    ) -> Option<Vec<Digest>> {
        let addr = layout.origin?;
        if self.remaining_backoff(addr).is_some() {
            return None;
        }
        let path = manifest_path(&layout.model, version);
        let request = request(Method::GET, addr, &path, Bytes::new());
        let deadline = Instant::now() + REQUEST_TIMEOUT;
        let reply = self.pool.call(addr, request, MAX_DIGESTS_BYTES, deadline).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(err) => {
                warn!(self.log, "cannot fetch the digests"; "source" => "origin", "error" => %err);
                return None;
            }
        };
        self.record_backoff(addr, reply.status, &reply.headers);
        if reply.status != StatusCode::OK {
            warn!(self.log, "cannot fetch the digests"; "source" => "origin",
                "status" => reply.status.as_u16());
            return None;
        }
        match decode_manifest(&reply.body, &layout.model, version) {
            Ok(digests) => Some(digests),
            Err(err) => {
                warn!(self.log, "cannot fetch the digests"; "source" => "origin", "error" => %err);
                None
            }
        }
    }

    /// Looks for a load order of an earlier run of this process, which may have got no answer: all pieces
    /// of the version before the newest one are staged and not loaded.
    async fn look_for_open_order(
        self: &Rc<Stager>,
        layout: &WeightsLayout,
        newest: WeightsVersion,
    ) {
        let Some(version) = newest.0.checked_sub(1).map(WeightsVersion) else { return };
        let is_served = self.serving_version().is_some_and(|serving| serving >= version);
        if is_served || version.0 == 0 {
            return;
        }
        let staged = self.list_staged_pieces(&layout.model).await;
        let is_full = staged.is_ok_and(|staged| staged.len() == layout.pieces as usize);
        let Ok(report) = self.get_report().await else { return };
        if !is_full {
            return;
        }
        let Some(digests) = self.fetch_digests_from_origin(layout, version).await else { return };
        let mut found = vec![None; digests.len()];
        self.read_staged(layout, (0..layout.pieces).collect(), |piece, body| {
            let digest = digests.get(piece as usize);
            let is_right = body.as_ref().is_some_and(|body| digest == Some(&Digest::of(body)));
            if !is_right {
                // A mix of pieces was never ordered.
                return ControlFlow::Break(());
            }
            found[piece as usize] = body;
            ControlFlow::Continue(())
        })
        .await;
        let Some(pieces) = found.into_iter().collect() else { return };
        info!(self.log, "an earlier run may have ordered a load"; "version" => version.0,
            "sequence" => report.accepted_orders);
        let weights = Weights { version, digests: Rc::new(digests), pieces };
        self.open_orders.borrow_mut().inherit(weights, report.accepted_orders);
        self.load_wakeup.notify_one();
    }

    /// Takes the newest version for ordered by an earlier run, if all its pieces are staged and not loaded.
    async fn inherit_newest(&self) {
        let staged =
            self.download.borrow().as_ref().filter(|d| d.is_staged()).and_then(|d| d.weights());
        let Some(weights) = staged else { return };
        if self.serving_version().is_some_and(|serving| serving >= weights.version) {
            return;
        }
        if let Ok(report) = self.get_report().await {
            self.open_orders.borrow_mut().inherit(weights, report.accepted_orders);
        }
    }

    /// Whether a version was named so recently that none of it can be staged.
    fn is_recently_named(&self, version: WeightsVersion) -> bool {
        let download = self.download.borrow();
        let named_at = download.as_ref().filter(|d| d.version == version).and_then(|d| d.named_at);
        named_at.is_some_and(|at| now().saturating_duration_since(at) < RECENTLY_NAMED)
    }

    /// Reuses pieces of the version that are already staged at the endpoint.
    async fn reuse_staged(self: &Rc<Stager>, layout: &WeightsLayout, version: WeightsVersion) {
        let staged = match self.list_staged_pieces(&layout.model).await {
            Ok(staged) => staged,
            Err(err) => {
                warn!(self.log, "cannot list staged pieces"; "error" => %err);
                return;
            }
        };
        let staged = staged.into_iter().filter(|piece| *piece < layout.pieces).collect();
        let (mut reused, mut foreign) = (0, 0);
        self.read_staged(layout, staged, |piece, body| {
            if self.download_version() != Some(version) {
                // A newer version was named.
                return ControlFlow::Break(());
            }
            match body.map(|body| self.accept_piece(version, piece, body, true)) {
                Some(true) => reused += 1,
                Some(false) => foreign += 1,
                None => {}
            }
            match reused == 0 && foreign >= MAX_LEADING_MISMATCHES {
                true => ControlFlow::Break(()),
                false => ControlFlow::Continue(()),
            }
        })
        .await;
        info!(self.log, "staged pieces reused"; "version" => version.0, "pieces" => reused);
    }

    /// Reads staged pieces and hands each to `handle`, `None` if it could not be read, until `handle` breaks
    /// off.
    async fn read_staged(
        self: &Rc<Stager>,
        layout: &WeightsLayout,
        pieces: Vec<u32>,
        mut handle: impl FnMut(u32, Option<Bytes>) -> ControlFlow<()>,
    ) {
        let reads = pieces.into_iter().map(|piece| {
            let (stager, model) = (self.clone(), layout.model.clone());
            async move { (piece, stager.get_staged_piece(&model, piece).await) }
        });
        self.run_reads(reads, |(piece, read)| handle(piece, read.ok().flatten())).await;
    }

    /// Stores a piece if it matches its digest; returns whether it does.
    pub(crate) fn accept_piece(
        &self,
        version: WeightsVersion,
        piece: u32,
        body: Bytes,
        staged: bool,
    ) -> bool {
        let mut download = self.download.borrow_mut();
        let Some(download) = download.as_mut().filter(|download| download.version == version)
        else {
            return false;
        };
        let digest = download.digests.as_ref().and_then(|digests| digests.get(piece as usize));
        if digest != Some(&Digest::of(&body)) {
            return false;
        }
        download.pieces[piece as usize] = Some(body);
        download.scheduler.mark_held(piece, now());
        if staged {
            download.staged.insert(piece);
            if download.is_staged() {
                download.staged_at.get_or_insert_with(now);
            }
        }
        if download.scheduler.is_complete() {
            self.load_wakeup.notify_one();
        }
        self.piece_arrived.notify_waiters();
        self.inventory_wakeup.notify_one();
        true
    }

    fn start_fetches(self: &Rc<Stager>, version: WeightsVersion) {
        let fetches = match self.download.borrow_mut().as_mut() {
            Some(download) => download.scheduler.next_fetches(now()),
            None => return,
        };
        for fetch in fetches {
            let stager = self.clone();
            spawn_local(async move { stager.fetch_piece(version, fetch).await });
        }
    }

    /// Fetches a piece and uploads it to the endpoint, unless a newer version is downloaded before it is
    /// here. The connection of a fetch that is given up is closed, so that its link carries the newer
    /// version.
    async fn fetch_piece(self: Rc<Stager>, version: WeightsVersion, fetch: Fetch) {
        let Some(layout) = self.weights_layout() else { return };
        let Some(current) = self.watch_download(version) else { return };
        let request = self.request_piece(&layout, version, fetch);
        let Some(reply) = until_closed(current, request).await else { return };
        let failure = match reply {
            Ok(body) => {
                let bytes = body.len() as u64;
                let name = source_name(fetch.source);
                counter!(names::CHUNK_BYTES, "source" => name).increment(bytes);
                if self.accept_piece(version, fetch.piece, body.clone(), false) {
                    self.fetch_wakeup.notify_one();
                    self.stage_piece(&layout, version, fetch.piece).await;
                    return;
                }
                warn!(self.log, "piece is not what its digest says"; "version" => version.0,
                    "piece" => fetch.piece, "source" => ?fetch.source);
                self.record_mismatch(version, fetch.piece, body);
                FetchFailure::Corrupted
            }
            Err(failure) => failure,
        };
        if let Some(download) = self.download.borrow_mut().as_mut()
            && download.version == version
        {
            download.scheduler.handle_failure(fetch, failure, now());
        }
        counter!(names::CHUNK_ERRORS, "error" => failure.name()).increment(1);
    }

    /// Returns what is closed when the download of a version is replaced; `None` if it already is.
    fn watch_download(&self, version: WeightsVersion) -> Option<watch::Receiver<()>> {
        let download = self.download.borrow();
        let download = download.as_ref().filter(|download| download.version == version)?;
        Some(download.current.subscribe())
    }

    async fn request_piece(
        &self,
        layout: &WeightsLayout,
        version: WeightsVersion,
        fetch: Fetch,
    ) -> Result<Bytes, FetchFailure> {
        let (addr, path) = match fetch.source {
            Source::Peer(ip) => {
                let addr = self.process.borrow().peer_addr(ip.into());
                (addr, PeerRequest::Piece(version.0, fetch.piece).path())
            }
            Source::Origin => {
                let addr = layout.origin.ok_or(FetchFailure::Missing)?;
                (addr, piece_path(&layout.model, version, fetch.piece))
            }
        };
        if let Some(remaining) = self.remaining_backoff(addr) {
            return Err(FetchFailure::Backoff(remaining));
        }
        let request = request(Method::GET, addr, &path, Bytes::new());
        // A peer in another zone may itself still be waiting for the piece.
        let piece_wait = if self.is_neighbour(fetch.source) {
            Duration::ZERO
        } else {
            self.settings.piece_wait_timeout
        };
        let deadline = Instant::now() + REQUEST_TIMEOUT + piece_wait;
        let reply = self.pool.call(addr, request, MAX_PIECE_BYTES, deadline).await;
        let reply = reply.map_err(|err| {
            warn!(self.log, "piece not read"; "version" => version.0, "piece" => fetch.piece,
                "source" => ?fetch.source, "error" => %err);
            FetchFailure::Failed
        })?;
        self.record_backoff(addr, reply.status, &reply.headers);
        match reply.status {
            StatusCode::OK => Ok(reply.body),
            StatusCode::NOT_FOUND => Err(FetchFailure::Missing),
            other => {
                warn!(self.log, "piece not read"; "version" => version.0, "piece" => fetch.piece,
                    "source" => ?fetch.source, "status" => other.as_u16());
                Err(FetchFailure::Failed)
            }
        }
    }

    fn is_neighbour(&self, source: Source) -> bool {
        let neighbours = self.inventory_recipients();
        matches!(source, Source::Peer(ip) if neighbours.contains(&ip))
    }

    /// Uploads a held piece to the endpoint. Returns whether it is staged now.
    pub(crate) async fn stage_piece(
        &self,
        layout: &WeightsLayout,
        version: WeightsVersion,
        piece: u32,
    ) -> bool {
        let is_backing_off = self.remaining_backoff(self.endpoint.addr).is_some();
        if is_backing_off || !self.open_orders.borrow().may_stage(version) {
            return false;
        }
        let Some(body) = self.held_piece(version, piece) else { return false };
        self.uploads.set(self.uploads.get() + 1);
        let uploaded = self.put_piece(&layout.model, piece, body).await;
        self.uploads.set(self.uploads.get() - 1);
        match uploaded {
            Ok(()) => self.record_staged(version, piece),
            Err(err) => {
                warn!(self.log, "cannot stage a piece"; "piece" => piece, "error" => %err);
                false
            }
        }
    }

    /// Records that a piece was uploaded. Returns whether it is one of the newest version.
    fn record_staged(&self, version: WeightsVersion, piece: u32) -> bool {
        let is_complete = match self.download.borrow_mut().as_mut() {
            Some(download) if download.version == version => {
                download.staged.insert(piece);
                let is_complete = download.is_staged();
                if is_complete {
                    download.staged_at.get_or_insert_with(now);
                }
                is_complete
            }
            _ => return false,
        };
        if is_complete {
            info!(self.log, "weights staged"; "version" => version.0);
            self.inventory_wakeup.notify_one();
            self.load_wakeup.notify_one();
        }
        true
    }

    /// The content of a piece, if this VM holds it.
    pub(crate) fn held_piece(&self, version: WeightsVersion, piece: u32) -> Option<Bytes> {
        let download = self.download.borrow();
        let download = download.as_ref().filter(|download| download.version == version)?;
        download.pieces.get(piece as usize)?.clone()
    }

    /// The newest version, if all of it is here and pieces are neither staged nor being uploaded: an upload has
    /// failed or was postponed.
    pub(crate) fn unstaged_version(&self) -> Option<WeightsVersion> {
        let is_reachable =
            self.failed_polls.get() == 0 && self.remaining_backoff(self.endpoint.addr).is_none();
        let download = self.download.borrow();
        let download = download.as_ref().filter(|_| is_reachable && self.uploads.get() == 0)?;
        let is_unstaged = download.scheduler.is_complete()
            && !download.is_staged()
            && self.open_orders.borrow().may_stage(download.version);
        is_unstaged.then_some(download.version)
    }

    /// Uploads held pieces that the endpoint has not accepted yet, until one cannot be uploaded.
    pub(crate) async fn stage_missing(&self, layout: &WeightsLayout, version: WeightsVersion) {
        let missing: Vec<u32> = match self.download.borrow().as_ref() {
            Some(download) if download.version == version => {
                let held = (0..layout.pieces).filter(|p| download.pieces[*p as usize].is_some());
                held.filter(|p| !download.staged.contains(*p)).collect()
            }
            _ => return,
        };
        for piece in missing {
            if !self.stage_piece(layout, version, piece).await {
                return;
            }
        }
    }
}

/// Runs `work` until it ends or the sender of `watched` is dropped; `None` then.
async fn until_closed<T>(
    mut watched: watch::Receiver<()>,
    work: impl Future<Output = T>,
) -> Option<T> {
    tokio::select! {
        biased;
        done = work => Some(done),
        // Nothing is ever sent, so this returns when the sender is dropped.
        _ = watched.changed() => None,
    }
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Peer(_) => "peer",
        Source::Origin => "origin",
    }
}

#[cfg(test)]
mod tests;
