//! Fetches the wanted weights and hands them to the endpoint, each piece checked by its digest.

use std::{rc::Rc, time::Duration};

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
    task::spawn_local,
    time::{Instant, sleep, timeout},
};
use transport::request;

use crate::{
    Failure, Fetch, Source,
    shared::{Shape, Stager, now},
};

/// Most bytes of a list of digests.
const DIGESTS_BYTES: usize = 1 << 20;
/// Most bytes of a piece.
const PIECE_BYTES: usize = 16 << 20;
/// Time between two looks at what can be fetched.
const LOOK_EVERY: Duration = Duration::from_millis(100);
/// Age of weights below which none of them are staged anywhere.
const JUST_NAMED: Duration = Duration::from_millis(1500);
/// Bytes of a digest.
const DIGEST_BYTES: usize = 32;
/// Agents of a zone that ask the origin for digests at once; the others ask those.
const DIGEST_OWNERS: usize = 1;

impl Stager {
    /// Fetches until the task is dropped.
    pub(crate) async fn fetch_loop(self: Rc<Stager>) {
        loop {
            // Woken early or not, everything is looked at again.
            let _ = timeout(LOOK_EVERY, self.fetch.notified()).await;
            self.want_newest();
            let Some(version) = self.wanted_version() else { continue };
            if self.needs_digests() {
                self.find_digests(version).await;
                continue;
            }
            self.fetch_next(version);
        }
    }

    pub(crate) fn wanted_version(&self) -> Option<WeightsVersion> {
        self.wanted.borrow().as_ref().map(|wanted| wanted.version)
    }

    fn needs_digests(&self) -> bool {
        self.wanted.borrow().as_ref().is_some_and(|wanted| wanted.digests.is_none())
    }

    /// Finds the digests of a version, at a neighbour or at the origin.
    async fn find_digests(self: &Rc<Stager>, version: WeightsVersion) {
        let Some(shape) = self.shape() else { return };
        let found = match self.neighbour_with_digests(version) {
            Some(peer) => self.digests_of_peer(peer, version).await,
            None if self.is_digest_owner() => self.digests_of_origin(&shape, version).await,
            None => None,
        };
        let Some(digests) = found.filter(|digests| digests.len() == shape.pieces as usize) else {
            sleep(self.settings.retry).await;
            return;
        };
        if let Some(wanted) = self.wanted.borrow_mut().as_mut()
            && wanted.version == version
        {
            wanted.digests = Some(Rc::new(digests));
        }
        self.arrived.notify_waiters();
        self.holding.notify_one();
        if !self.is_just_named(version) {
            self.reuse_staged(&shape, version).await;
        }
        self.fetch.notify_one();
    }

    fn neighbour_with_digests(&self, version: WeightsVersion) -> Option<std::net::Ipv4Addr> {
        let neighbours = self.neighbours.borrow();
        let known = neighbours.iter().filter(|(_, (h, _))| h.version == version.0 && h.digests);
        let known: Vec<std::net::Ipv4Addr> = known.map(|(ip, _)| *ip).collect();
        if known.is_empty() { None } else { Some(known[fastrand::usize(..known.len())]) }
    }

    /// Whether this agent asks the origin for digests; all do after a while.
    fn is_digest_owner(&self) -> bool {
        let before = self.told_neighbours().iter().filter(|ip| **ip < self.ip).count();
        let since = self.wanted.borrow().as_ref().map(|wanted| wanted.spread.age(now()));
        let late = since.is_some_and(|age| age >= self.settings.spread.owner_patience);
        before < DIGEST_OWNERS || late
    }

    async fn digests_of_peer(
        &self,
        peer: std::net::Ipv4Addr,
        version: WeightsVersion,
    ) -> Option<Vec<Digest>> {
        let addr = self.process.borrow().peer_addr(peer.into());
        let path = PeerRequest::Digests(version.0).path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        let until = Instant::now() + REQUEST_TIMEOUT;
        let reply = self.pool.call(addr, request, DIGESTS_BYTES, until).await.ok()?;
        if reply.status != StatusCode::OK {
            return None;
        }
        let digests = reply.body.chunks_exact(DIGEST_BYTES);
        digests.map(|bytes| bytes.try_into().ok().map(Digest)).collect()
    }

    async fn digests_of_origin(
        &self,
        shape: &Shape,
        version: WeightsVersion,
    ) -> Option<Vec<Digest>> {
        let addr = shape.origin?;
        let path = manifest_path(&shape.model, version);
        let request = request(Method::GET, addr, &path, Bytes::new());
        let until = Instant::now() + REQUEST_TIMEOUT;
        let reply = self.pool.call(addr, request, DIGESTS_BYTES, until).await;
        let reply = match reply {
            Ok(reply) => reply,
            Err(err) => {
                warn!(self.log, "digests not read"; "source" => "origin", "error" => %err);
                return None;
            }
        };
        if reply.status != StatusCode::OK {
            warn!(self.log, "digests not read"; "source" => "origin",
                "status" => reply.status.as_u16());
            return None;
        }
        match decode_manifest(&reply.body) {
            Ok(digests) => Some(digests),
            Err(err) => {
                warn!(self.log, "digests not read"; "source" => "origin", "error" => %err);
                None
            }
        }
    }

    /// Whether a version was named so shortly ago that none of it can be staged.
    fn is_just_named(&self, version: WeightsVersion) -> bool {
        let wanted = self.wanted.borrow();
        let named = wanted.as_ref().filter(|w| w.version == version).and_then(|w| w.named);
        named.is_some_and(|named| now().saturating_duration_since(named) < JUST_NAMED)
    }

    /// Takes over pieces of the version that lie at the endpoint already.
    async fn reuse_staged(self: &Rc<Stager>, shape: &Shape, version: WeightsVersion) {
        let list = match self.staged_list(&shape.model).await {
            Ok(list) => list,
            Err(err) => {
                warn!(self.log, "staged pieces not listed"; "error" => %err);
                return;
            }
        };
        let mut reused = 0;
        for piece in list.into_iter().filter(|piece| *piece < shape.pieces) {
            let Ok(Some(body)) = self.staged(&shape.model, piece).await else { continue };
            if self.take_in(version, piece, body, true) {
                reused += 1;
            } else if reused == 0 && piece > 4 {
                // What lies there is of another version.
                break;
            }
        }
        info!(self.log, "staged pieces reused"; "version" => version.0, "pieces" => reused);
    }

    /// Takes in a piece if it is what its digest says.
    fn take_in(&self, version: WeightsVersion, piece: u32, body: Bytes, staged: bool) -> bool {
        let mut wanted = self.wanted.borrow_mut();
        let Some(wanted) = wanted.as_mut().filter(|wanted| wanted.version == version) else {
            return false;
        };
        let digest = wanted.digests.as_ref().and_then(|digests| digests.get(piece as usize));
        if digest != Some(&Digest::of(&body)) {
            return false;
        }
        wanted.pieces[piece as usize] = Some(body);
        wanted.spread.hold(piece, now());
        if staged {
            wanted.staged.insert(piece);
            if wanted.is_staged() {
                wanted.staged_at.get_or_insert_with(now);
            }
        }
        self.arrived.notify_waiters();
        self.holding.notify_one();
        true
    }

    fn fetch_next(self: &Rc<Stager>, version: WeightsVersion) {
        let fetches = match self.wanted.borrow_mut().as_mut() {
            Some(wanted) => wanted.spread.next(now()),
            None => return,
        };
        for fetch in fetches {
            let stager = self.clone();
            spawn_local(async move { stager.fetch_one(version, fetch).await });
        }
    }

    async fn fetch_one(self: Rc<Stager>, version: WeightsVersion, fetch: Fetch) {
        let Some(shape) = self.shape() else { return };
        let failure = match self.read_piece(&shape, version, fetch).await {
            Ok(body) => {
                let bytes = body.len() as u64;
                let name = source_name(fetch.source);
                counter!(names::CHUNK_BYTES, "source" => name).increment(bytes);
                if self.take_in(version, fetch.piece, body, false) {
                    self.fetch.notify_one();
                    self.stage_piece(&shape, version, fetch.piece).await;
                    return;
                }
                warn!(self.log, "piece is not what its digest says"; "version" => version.0,
                    "piece" => fetch.piece, "source" => ?fetch.source);
                Failure::Failed
            }
            Err(failure) => failure,
        };
        if let Some(wanted) = self.wanted.borrow_mut().as_mut()
            && wanted.version == version
        {
            wanted.spread.failed(fetch, failure, now());
        }
        counter!(names::CHUNK_ERRORS, "error" => format!("{failure:?}")).increment(1);
    }

    async fn read_piece(
        &self,
        shape: &Shape,
        version: WeightsVersion,
        fetch: Fetch,
    ) -> Result<Bytes, Failure> {
        let (addr, path) = match fetch.source {
            Source::Peer(ip) => {
                let addr = self.process.borrow().peer_addr(ip.into());
                (addr, PeerRequest::Piece(version.0, fetch.piece).path())
            }
            Source::Origin => {
                let addr = shape.origin.ok_or(Failure::Missing)?;
                (addr, piece_path(&shape.model, version, fetch.piece))
            }
        };
        let request = request(Method::GET, addr, &path, Bytes::new());
        // A peer of another zone may still wait for the piece.
        let hold = if self.is_near(fetch.source) { Duration::ZERO } else { self.settings.hold };
        let until = Instant::now() + REQUEST_TIMEOUT + hold;
        let reply = self.pool.call(addr, request, PIECE_BYTES, until).await;
        let reply = reply.map_err(|err| {
            warn!(self.log, "piece not read"; "version" => version.0, "piece" => fetch.piece,
                "source" => ?fetch.source, "error" => %err);
            Failure::Failed
        })?;
        match reply.status {
            StatusCode::OK => Ok(reply.body),
            StatusCode::NOT_FOUND => Err(Failure::Missing),
            other => {
                warn!(self.log, "piece not read"; "version" => version.0, "piece" => fetch.piece,
                    "source" => ?fetch.source, "status" => other.as_u16());
                Err(Failure::Failed)
            }
        }
    }

    fn is_near(&self, source: Source) -> bool {
        let told = self.told_neighbours();
        matches!(source, Source::Peer(ip) if told.contains(&ip))
    }

    /// Hands a held piece to the endpoint.
    async fn stage_piece(&self, shape: &Shape, version: WeightsVersion, piece: u32) {
        let body = self.held_piece(version, piece);
        let Some(body) = body else { return };
        if let Err(err) = self.stage(&shape.model, piece, body).await {
            warn!(self.log, "piece not staged"; "piece" => piece, "error" => %err);
            return;
        }
        let complete = match self.wanted.borrow_mut().as_mut() {
            Some(wanted) if wanted.version == version => {
                wanted.staged.insert(piece);
                let complete = wanted.is_staged();
                if complete {
                    wanted.staged_at.get_or_insert_with(now);
                }
                complete
            }
            _ => false,
        };
        if complete {
            info!(self.log, "weights staged"; "version" => version.0);
            self.holding.notify_one();
            self.load.notify_one();
        }
    }

    /// A piece that is held.
    pub(crate) fn held_piece(&self, version: WeightsVersion, piece: u32) -> Option<Bytes> {
        let wanted = self.wanted.borrow();
        let wanted = wanted.as_ref().filter(|wanted| wanted.version == version)?;
        wanted.pieces.get(piece as usize)?.clone()
    }

    /// Hands over pieces that are held and were not taken by the endpoint.
    pub(crate) async fn stage_missing(&self, shape: &Shape, version: WeightsVersion) {
        let missing: Vec<u32> = match self.wanted.borrow().as_ref() {
            Some(wanted) if wanted.version == version => {
                let held = (0..shape.pieces).filter(|p| wanted.pieces[*p as usize].is_some());
                held.filter(|p| !wanted.staged.contains(*p)).collect()
            }
            _ => return,
        };
        for piece in missing {
            self.stage_piece(shape, version, piece).await;
        }
    }
}

fn source_name(source: Source) -> &'static str {
    match source {
        Source::Peer(_) => "peer",
        Source::Origin => "origin",
    }
}
