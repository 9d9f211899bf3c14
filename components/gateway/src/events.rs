//! Splits a stream into complete events, so that a stream that breaks off within an event can be
//! resumed after the last complete one.

use base::EventPosition;
use bytes::{Bytes, BytesMut};

/// Maximum number of bytes without the end of an event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits the body of one response into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    /// Bytes that belong to an event whose end has not arrived.
    partial: BytesMut,
    /// The position of the end of the data since the stream began or was resumed.
    position: EventPosition,
    /// Number of bytes since the last event ended.
    idle_bytes: usize,
    /// Id of the last complete event.
    last_id: Option<u64>,
    /// Id of the last event that was forwarded before the stream was resumed. Events up to this one are
    /// skipped.
    skip_until: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter for a response that continues after event `last`.
    pub(crate) fn starting_after(last: Option<u64>) -> EventSplitter {
        EventSplitter { last_id: last, ..EventSplitter::default() }
    }

    /// Returns the id of the last complete event.
    pub(crate) fn last_id(&self) -> Option<u64> {
        self.last_id
    }

    /// Whether the data ends inside an event.
    pub(crate) fn is_inside_event(&self) -> bool {
        self.position.is_inside_event()
    }

    /// Number of complete events that have arrived since the stream began or was resumed.
    pub(crate) fn event_count(&self) -> u64 {
        self.position.event_count()
    }

    /// Whether so many bytes have come without the end of an event that none is to be expected.
    pub(crate) fn is_endless(&self) -> bool {
        self.idle_bytes > MAX_EVENT_BYTES
    }

    /// Number of bytes that wait for the end of their event.
    pub(crate) fn partial_len(&self) -> usize {
        self.partial.len()
    }

    /// Prepares for the output of another endpoint that resumes the stream: drops an incomplete event
    /// and skips events that were already forwarded.
    pub(crate) fn resume(&mut self) {
        *self = EventSplitter {
            last_id: self.last_id,
            skip_until: self.last_id,
            ..EventSplitter::default()
        };
    }

    /// Adds bytes of the body and returns the new complete events.
    pub(crate) fn push(&mut self, mut data: Bytes) -> Bytes {
        let end = self.advance(&data);
        let rest = data.split_off(end);
        let whole = self.complete_partial(data);
        self.partial.extend_from_slice(&rest);
        if whole.is_empty() {
            return whole;
        }
        if self.skip_until.is_some() {
            return self.skip_duplicates(&whole);
        }
        self.record_last_id(&whole);
        whole
    }

    /// Moves the position past `data`. Returns the number of bytes that need not wait for more.
    fn advance(&mut self, data: &[u8]) -> usize {
        let before = self.position.event_count();
        let end = self.position.advance_all(data);
        if self.position.event_count() > before {
            self.idle_bytes = data.len() - end;
        } else {
            self.idle_bytes += data.len();
        }
        end
    }

    /// Adds data that ends with an event and returns all events that are complete now.
    fn complete_partial(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() || data.is_empty() {
            return data;
        }
        self.partial.extend_from_slice(&data);
        self.partial.split().freeze()
    }

    fn record_last_id(&mut self, events: &[u8]) {
        let ids = events.split(|&b| b == b'\n').rev().filter_map(parse_id_line);
        if let Some(id) = ids.into_iter().next() {
            self.last_id = Some(id);
        }
    }

    fn skip_duplicates(&mut self, events: &Bytes) -> Bytes {
        let mut rest = events.clone();
        while let Some(end) = first_event_end(&rest) {
            let id = rest[..end].split(|&b| b == b'\n').find_map(parse_id_line);
            if id > self.skip_until {
                self.skip_until = None;
                self.record_last_id(&rest);
                return rest;
            }
            rest = rest.slice(end..);
        }
        Bytes::new()
    }
}

fn parse_id_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

/// Returns the position after the first complete event.
fn first_event_end(data: &[u8]) -> Option<usize> {
    let mut position = EventPosition::default();
    data.iter().position(|byte| position.advance(*byte)).map(|at| at + 1)
}

#[cfg(test)]
mod tests;
