//! Splits a stream into complete events, so that a stream that breaks off within an event can be
//! resumed after the last complete one.

use bytes::{Bytes, BytesMut};

/// Maximum size of an event in bytes. A longer event is forwarded in parts and cannot be resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits the body of one response into complete events.
#[derive(Debug, Default)]
pub(crate) struct EventSplitter {
    partial: BytesMut,
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

    /// Prepares for the output of another endpoint that resumes the stream: drops an incomplete event
    /// and skips events that were already forwarded.
    pub(crate) fn resume(&mut self) {
        self.partial.clear();
        self.skip_until = self.last_id;
    }

    /// Adds bytes of the body and returns the new complete events.
    pub(crate) fn push(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && self.skip_until.is_none() && ends_event(&data) {
            self.record_last_id(&data);
            return data;
        }
        self.partial.extend_from_slice(&data);
        let whole = match last_event_end(&self.partial) {
            Some(end) => self.partial.split_to(end).freeze(),
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.split().freeze(),
            None => return Bytes::new(),
        };
        if self.skip_until.is_some() {
            return self.skip_duplicates(&whole);
        }
        self.record_last_id(&whole);
        whole
    }

    /// Returns the incomplete data that is left at the end of the response.
    pub(crate) fn remainder(&mut self) -> Bytes {
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

fn ends_event(data: &[u8]) -> bool {
    data.ends_with(b"\n\n") || data.ends_with(b"\r\n\r\n")
}

/// Returns the position after the last complete event.
fn last_event_end(data: &[u8]) -> Option<usize> {
    (1..=data.len()).rev().find(|&end| ends_event(&data[..end]))
}

/// Returns the position after the first complete event.
fn first_event_end(data: &[u8]) -> Option<usize> {
    (1..=data.len()).find(|&end| ends_event(&data[..end]))
}

#[cfg(test)]
mod tests;
