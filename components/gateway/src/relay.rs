//! Passes changes of the store on to other gateways of the zone, and asks other gateways for them.

use std::{net::Ipv4Addr, time::Duration};

use bytes::Bytes;
use directory::{ChangesSince, ReadError, Snapshot, StoreBody, StorePages, WatchedChanges};
use http::{Method, Response, StatusCode};
use peering::{PeerRequest, RelayedBody, RelayedChanges, RelayedContent};
use platform::store::{StorePosition, StoreRevision};
use tokio::time::{Instant, timeout_at};
use transport::{CallLimits, TransportError, request};

use crate::{
    response::{ResponseBody, own_response},
    state::{Gateway, now},
};

/// Maximum size of relayed changes in bytes.
const MAX_CHANGES_BYTES: usize = 16 << 20;

/// Why changes cannot be learned from another gateway.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RelayError {
    /// The request could not be sent or got no response in time.
    #[error("the gateway does not answer: {0}")]
    Transport(#[from] TransportError),
    /// The gateway is cut off from the store, has not read it yet or no longer has the changes.
    #[error("the gateway cannot tell the changes: status {0}")]
    Status(u16),
    /// The response cannot be decoded.
    #[error("invalid response: {0}; the gateway may run another version of the program")]
    Decode(#[from] postcard::Error),
    /// The changes in the response cannot be decoded or must not be applied.
    #[error("changes not usable: {0}")]
    Changes(#[from] ReadError),
    /// The gateway has not heard from the store for too long.
    #[error("the gateway heard from the store {}ms ago", .0.as_millis())]
    TooOld(Duration),
}

/// Changes that were learned from another gateway.
#[derive(Debug)]
pub(crate) struct LearnedChanges {
    /// The changes.
    pub(crate) content: LearnedContent,
    /// Time since the store was last known to have no newer change, when the answer was sent.
    pub(crate) age: Duration,
    /// When the store was last known to have no newer change.
    pub(crate) confirmed_at: std::time::Instant,
    /// Time before which the store acknowledged no change that is still unknown; `None` if more
    /// changes follow.
    pub(crate) known_until: Option<std::time::Instant>,
}

/// How changes were told by another gateway.
#[derive(Debug)]
pub(crate) enum LearnedContent {
    /// The next changes, if there are any.
    Changes(WatchedChanges),
    /// A read of the whole store.
    All(Snapshot),
}

impl Gateway {
    /// Answers another gateway that asks for the changes after a position. Waits a while if there are
    /// none. `compressed`: the other gateway understands compressed responses of the store.
    pub(crate) async fn serve_changes(
        &self,
        after: StorePosition,
        compressed: bool,
    ) -> Response<ResponseBody> {
        self.log_behind(after);
        let deadline = Instant::now() + self.source_times().relay_wait;
        loop {
            let changed = self.store_changed.notified();
            match self.store_progress.borrow().changes_since(after) {
                ChangesSince::Changes(body) if compressed => {
                    let content = RelayedContent::ChangesBody(relayed_body(&body));
                    return self.relayed_response(after, content);
                }
                ChangesSince::All(read) if compressed => {
                    let pages = read.pages.iter().map(relayed_body).collect();
                    let revision = read.position.revision.0;
                    let content = RelayedContent::AllBodies { revision, pages };
                    return self.relayed_response(after, content);
                }
                ChangesSince::Changes(body) => return self.plain_changes(after, &body),
                ChangesSince::All(read) => return self.plain_read(after, &read),
                ChangesSince::Unknown => return own_response(StatusCode::GONE, None, None),
                ChangesSince::None => {}
            }
            if self.store_lost.get() || self.stopping.get().is_some() {
                return own_response(StatusCode::SERVICE_UNAVAILABLE, None, None);
            }
            if timeout_at(deadline, changed).await.is_err() {
                return self.relayed_response(after, RelayedContent::None);
            }
        }
    }

    /// Passes changes on to a gateway that does not understand compressed responses.
    fn plain_changes(&self, after: StorePosition, body: &StoreBody) -> Response<ResponseBody> {
        match body.decompress() {
            Ok(body) => self.relayed_response(after, RelayedContent::Changes(&body)),
            Err(err) => self.unreadable(&err),
        }
    }

    /// Passes a read of the whole store on to such a gateway.
    fn plain_read(&self, after: StorePosition, read: &StorePages) -> Response<ResponseBody> {
        let pages: Result<Vec<Bytes>, ReadError> =
            read.pages.iter().map(StoreBody::decompress).collect();
        match pages {
            Ok(pages) => {
                let pages = pages.iter().map(Bytes::as_ref).collect();
                let revision = read.position.revision.0;
                self.relayed_response(after, RelayedContent::All { revision, pages })
            }
            Err(err) => self.unreadable(&err),
        }
    }

    fn unreadable(&self, err: &ReadError) -> Response<ResponseBody> {
        slog::warn!(self.log, "kept changes are not readable"; "error" => %err);
        own_response(StatusCode::INTERNAL_SERVER_ERROR, None, None)
    }

    /// Logs that another gateway knows a newer position than this one.
    fn log_behind(&self, after: StorePosition) {
        let known = self.store_progress.borrow().known();
        if let Some(known) = known.filter(|known| *known < after) {
            slog::info!(self.log, "another gateway knows more"; "asked" => %after,
                "known" => %known);
        }
    }

    fn relayed_response(
        &self,
        after: StorePosition,
        content: RelayedContent<'_>,
    ) -> Response<ResponseBody> {
        self.observe_pauses();
        let progress = self.store_progress.borrow();
        let age = progress.age(now()).unwrap_or(Duration::MAX);
        let mut changes = RelayedChanges::new(age, content);
        if let Some(until) = progress.known_with_next(after) {
            changes = changes.with_known_age(now().saturating_duration_since(until));
        }
        match changes.encode() {
            Ok(bytes) => Response::new(ResponseBody::Full(Some(Bytes::from(bytes)))),
            Err(err) => {
                slog::warn!(self.log, "changes cannot be encoded"; "error" => %err);
                own_response(StatusCode::INTERNAL_SERVER_ERROR, None, None)
            }
        }
    }

    /// Waits until another gateway is known to know changes that this one's own source does not tell,
    /// nor sends at the moment. Returns that gateway.
    pub(crate) async fn wait_until_behind(&self) -> Ipv4Addr {
        loop {
            let news = self.newer_position.notified();
            let can_ask = self.store_progress.borrow().position_for_peers().is_some();
            let received_at = self.receiving.last().map(Instant::into_std);
            let due = self.position_news.borrow().due_request(received_at).filter(|_| can_ask);
            match due {
                Some((gateway, due)) if now() >= due => return gateway,
                Some((_, due)) => drop(timeout_at(due.into(), news).await),
                None => news.await,
            }
        }
    }

    /// Asks another gateway for the changes after a position.
    pub(crate) async fn request_changes(
        &self,
        gateway: Ipv4Addr,
        after: StorePosition,
    ) -> Result<LearnedChanges, RelayError> {
        let sent_at = now();
        let times = self.source_times();
        let addr = self.process.borrow().peer_addr(gateway.into());
        let (era, revision) = (after.era.0, after.revision.0);
        let path = PeerRequest::Changes { era, revision, compressed: true }.path();
        let request = request(Method::GET, addr, &path, Bytes::new());
        let progress = self.receiving.clone();
        let limits = CallLimits::stalled(times.relay_timeout, times.stall, progress);
        let reply = self.pool.call(addr, request, MAX_CHANGES_BYTES, limits).await?;
        if reply.status != StatusCode::OK {
            return Err(RelayError::Status(reply.status.as_u16()));
        }
        let sent_at = self.corrected_time(sent_at);
        let changes = RelayedChanges::decode(&reply.body)?;
        // Changes are news, however old the knowledge is that there are no more of them.
        if changes.content == RelayedContent::None && changes.age() > times.max_age {
            return Err(RelayError::TooOld(changes.age()));
        }
        let begun_at = self.corrected_time(reply.begun_at.into_std());
        Ok(LearnedChanges {
            age: changes.age(),
            confirmed_at: begun_at.checked_sub(changes.age()).unwrap_or(begun_at),
            // The answer may have been on its way since the request was sent.
            known_until: changes.known_age().and_then(|age| sent_at.checked_sub(age)),
            content: decode_content(changes.content, &reply.body, after)?,
        })
    }
}

/// Decodes what another gateway told of the changes after a position, which is a part of `reply`.
fn decode_content(
    content: RelayedContent<'_>,
    reply: &Bytes,
    after: StorePosition,
) -> Result<LearnedContent, ReadError> {
    Ok(match content {
        RelayedContent::None => LearnedContent::Changes(WatchedChanges::none(after)),
        RelayedContent::Changes(body) => decode_changes(RelayedBody::Plain(body), reply, after)?,
        RelayedContent::ChangesBody(body) => decode_changes(body, reply, after)?,
        RelayedContent::All { revision, pages } => {
            let pages = pages.into_iter().map(RelayedBody::Plain).collect();
            decode_read(StoreRevision(revision), pages, reply, after)?
        }
        RelayedContent::AllBodies { revision, pages } => {
            decode_read(StoreRevision(revision), pages, reply, after)?
        }
    })
}

fn decode_changes(
    body: RelayedBody<'_>,
    reply: &Bytes,
    after: StorePosition,
) -> Result<LearnedContent, ReadError> {
    let body = store_body(body, reply);
    Ok(LearnedContent::Changes(WatchedChanges::decode(body, after)?))
}

fn decode_read(
    revision: StoreRevision,
    pages: Vec<RelayedBody<'_>>,
    reply: &Bytes,
    after: StorePosition,
) -> Result<LearnedContent, ReadError> {
    let pages = pages.into_iter().map(|page| store_body(page, reply)).collect();
    let position = StorePosition { revision, ..after };
    Ok(LearnedContent::All(Snapshot::decode(pages, position)?))
}

/// A response of the store as it is passed on.
fn relayed_body(body: &StoreBody) -> RelayedBody<'_> {
    match body {
        StoreBody::Plain(body) => RelayedBody::Plain(body),
        StoreBody::Compressed(body) => RelayedBody::Compressed(body),
    }
}

/// The opposite, for a body that is a part of `reply`.
fn store_body(body: RelayedBody<'_>, reply: &Bytes) -> StoreBody {
    match body {
        RelayedBody::Plain(body) => StoreBody::Plain(reply.slice_ref(body)),
        RelayedBody::Compressed(body) => StoreBody::Compressed(reply.slice_ref(body)),
    }
}
