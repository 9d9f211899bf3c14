//! Splits a stream into whole events, so that one that breaks off in the middle of an event can be
//! resumed after the last whole one.

use bytes::{Bytes, BytesMut};

/// Most bytes of one event; a longer one is passed on in parts and cannot be resumed.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// The events of one answer.
#[derive(Debug, Default)]
pub(crate) struct Events {
    partial: BytesMut,
    /// The id of the last whole event.
    last: Option<u64>,
    /// Events up to this one were passed on before the answer was resumed.
    skip_until: Option<u64>,
}

impl Events {
    /// Events of an answer that goes on after `last`.
    pub(crate) fn after(last: Option<u64>) -> Events {
        Events { last, ..Events::default() }
    }

    /// The id of the last whole event.
    pub(crate) fn last(&self) -> Option<u64> {
        self.last
    }

    /// Another run goes on with the stream: what was not whole is dropped, and events that were passed
    /// on before are not passed on again.
    pub(crate) fn resume(&mut self) {
        self.partial.clear();
        self.skip_until = self.last;
    }

    /// Takes in bytes; returns the whole events that are new.
    pub(crate) fn push(&mut self, data: Bytes) -> Bytes {
        if self.partial.is_empty() && self.skip_until.is_none() && ends_event(&data) {
            self.note_last(&data);
            return data;
        }
        self.partial.extend_from_slice(&data);
        let whole = match end_of_events(&self.partial) {
            Some(end) => self.partial.split_to(end).freeze(),
            None if self.partial.len() > MAX_EVENT_BYTES => self.partial.split().freeze(),
            None => return Bytes::new(),
        };
        if self.skip_until.is_some() {
            return self.skip(&whole);
        }
        self.note_last(&whole);
        whole
    }

    /// What remains at the end of the answer.
    pub(crate) fn rest(&mut self) -> Bytes {
        self.partial.split().freeze()
    }

    fn note_last(&mut self, events: &[u8]) {
        let ids = events.split(|&b| b == b'\n').rev().filter_map(id_of_line);
        if let Some(id) = ids.into_iter().next() {
            self.last = Some(id);
        }
    }

    fn skip(&mut self, events: &Bytes) -> Bytes {
        let mut rest = events.clone();
        while let Some(end) = end_of_first_event(&rest) {
            let id = rest[..end].split(|&b| b == b'\n').find_map(id_of_line);
            if id > self.skip_until {
                self.skip_until = None;
                self.note_last(&rest);
                return rest;
            }
            rest = rest.slice(end..);
        }
        Bytes::new()
    }
}

fn id_of_line(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn ends_event(data: &[u8]) -> bool {
    data.ends_with(b"\n\n") || data.ends_with(b"\r\n\r\n")
}

/// The position after the last whole event.
fn end_of_events(data: &[u8]) -> Option<usize> {
    (1..=data.len()).rev().find(|&end| ends_event(&data[..end]))
}

/// The position after the first event.
fn end_of_first_event(data: &[u8]) -> Option<usize> {
    (1..=data.len()).find(|&end| ends_event(&data[..end]))
}

#[cfg(test)]
mod tests;
