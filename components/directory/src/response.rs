//! Interprets the store's responses, without network.

use bytes::Bytes;
use http::StatusCode;
use platform::store::{
    StoreEntry, StoreEra, StorePosition, StoreRevision, decode_changes, decode_era, decode_page,
};
use transport::BufferedResponse;

use crate::{ReadError, StoreBody, progress::check_era};

/// All entries of the store.
#[derive(Debug)]
pub struct Snapshot {
    /// The entries.
    pub entries: Vec<StoreEntry>,
    /// The position to watch from: the lowest of all pages. Pages are read one after the other, so
    /// changes between them are reported again by the watch.
    pub position: StorePosition,
    /// The responses that they were decoded from, to pass them on.
    pub pages: Vec<StoreBody>,
}

impl Snapshot {
    /// Decodes the pages of a read that another process made.
    pub fn decode(pages: Vec<StoreBody>, position: StorePosition) -> Result<Snapshot, ReadError> {
        let mut entries = Vec::new();
        for page in &pages {
            entries.extend(decode_page(&page.decompress()?)?.entries);
        }
        Ok(Snapshot { entries, position, pages })
    }
}

/// Changes that a watch returned.
#[derive(Debug)]
pub struct WatchedChanges {
    /// Changed entries, oldest first.
    pub entries: Vec<StoreEntry>,
    /// The position after which to watch next.
    pub position: StorePosition,
    /// The response that they were decoded from, to pass it on; empty if there was none.
    pub body: StoreBody,
}

impl WatchedChanges {
    /// No changes after a position.
    pub fn none(position: StorePosition) -> WatchedChanges {
        WatchedChanges { entries: Vec::new(), position, body: StoreBody::empty() }
    }

    /// Decodes the response to a watch after a position. The response is of the same era.
    pub fn decode(body: StoreBody, after: StorePosition) -> Result<WatchedChanges, ReadError> {
        let changes = decode_changes(&body.decompress()?, after.revision)?;
        let revision = changes.revision.max(after.revision);
        let position = StorePosition { era: after.era, revision };
        Ok(WatchedChanges { entries: changes.entries, position, body })
    }
}

/// A read of the whole store in pages, all of one era.
#[derive(Debug)]
pub struct PagedRead {
    era: StoreEra,
    entries: Vec<StoreEntry>,
    pages: Vec<StoreBody>,
    /// Lowest revision of the pages so far.
    revision: Option<StoreRevision>,
}

impl PagedRead {
    /// Starts a read in the newest era that is known.
    pub fn new(era: StoreEra) -> PagedRead {
        PagedRead { era, entries: Vec::new(), pages: Vec::new(), revision: None }
    }

    /// Adds the next page. Returns the key after which the page after it begins, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if the page is of another era; the read has to start again.
    pub fn add_page(&mut self, response: BufferedResponse) -> Result<Option<String>, ReadError> {
        let body = accept_response(response, self.era)?;
        let page = decode_page(&body)?;
        self.pages.push(StoreBody::Plain(body));
        let lowest = self.revision.map_or(page.revision, |revision| revision.min(page.revision));
        self.revision = Some(lowest);
        self.entries.extend(page.entries);
        Ok(page.next)
    }

    /// The entries of all pages.
    pub fn finish(self) -> Snapshot {
        let revision = self.revision.unwrap_or_default();
        let position = StorePosition { era: self.era, revision };
        Snapshot { entries: self.entries, position, pages: self.pages }
    }
}

/// Returns the body of a successful response of the era that is known. The era is checked whatever
/// the status, so that the store's return is noticed as early as possible.
pub fn accept_response(response: BufferedResponse, known: StoreEra) -> Result<Bytes, ReadError> {
    check_era(decode_era(&response.headers)?, known)?;
    match response.status {
        StatusCode::OK => Ok(response.body),
        StatusCode::GONE => Err(ReadError::HistoryGone),
        other => Err(ReadError::Status(other.as_u16())),
    }
}

#[cfg(test)]
mod tests;
