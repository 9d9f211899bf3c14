//! Streams a response to a caller.

use std::{io::Write, time::Instant};

use base::{EVENT_STREAM, EventPosition, ReleaseId};
use net::{Request, Response, StreamWriter};
use proto::header as name;

use crate::{
    attempt::{Delivery, ResponseHead, ResponseSink},
    counts,
    event::Refusal,
};

/// Maximum length of the sent prefix that is kept to compare the response of another attempt with.
const MAX_PREFIX_BYTES: usize = 256 << 10;
/// A comment line of an event stream, which readers skip.
const KEEPALIVE_COMMENT: &[u8] = b": wait\n\n";

/// Streams one response.
pub(crate) struct CallerSink {
    arrived: Instant,
    request: Option<Request>,
    writer: Option<StreamWriter>,
    head: Option<ResponseHead>,
    /// The first bytes that were sent, at most `MAX_PREFIX_BYTES`.
    prefix: Vec<u8>,
    /// Total number of bytes sent.
    sent: u64,
    /// The end of what was sent of a stream of events.
    position: EventPosition,
}

impl CallerSink {
    pub(crate) fn new(request: Request) -> CallerSink {
        CallerSink {
            arrived: Instant::now(),
            request: Some(request),
            writer: None,
            head: None,
            prefix: Vec::new(),
            sent: 0,
            position: EventPosition::default(),
        }
    }

    /// Terminates the response body, which marks the answer as complete.
    pub(crate) fn finish(mut self) {
        if let Some(writer) = self.writer.take() {
            // The caller may have disconnected.
            let _ = writer.finish();
        }
    }

    /// Whether the response head was sent.
    pub(crate) fn head_sent(&self) -> bool {
        self.request.is_none()
    }

    /// Whether the caller has disconnected.
    pub(crate) fn is_abandoned(&self) -> bool {
        let before = self.request.as_ref().is_some_and(Request::is_abandoned);
        before || self.writer.as_ref().is_some_and(StreamWriter::is_abandoned)
    }

    /// The release that produces the response; `None` before the head is sent and for plain
    /// services.
    pub(crate) fn release(&self) -> Option<&ReleaseId> {
        self.head.as_ref()?.release.as_ref()
    }

    /// Whether another attempt of the same release can resume the response where this one ended.
    pub(crate) fn can_resume(&self) -> bool {
        !self.head_sent() || (self.release().is_some() && self.sent == self.prefix.len() as u64)
    }

    /// Responds with an error; an event stream that has begun gets an error event and is then
    /// aborted.
    pub(crate) fn refuse(mut self, refusal: &Refusal) {
        let stream = self.is_stream();
        if self.head_sent() {
            counts::ended(refusal.outcome.as_str());
        }
        if let Some(request) = self.request.take() {
            respond_error(request, refusal);
        } else if let Some(mut writer) = self.writer.take().filter(|_| stream) {
            let start = if self.position.is_inside_event() { "\n\n" } else { "" };
            let event = format!("{start}event: error\ndata: {}\n\n", body(refusal));
            write(&mut writer, event.as_bytes());
        }
    }

    fn is_stream(&self) -> bool {
        let stream = |head: &ResponseHead| head.content_type.starts_with(EVENT_STREAM);
        self.head.as_ref().is_some_and(stream)
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.writer.as_mut().is_some_and(|writer| write(writer, bytes))
    }
}

impl ResponseSink for CallerSink {
    fn head(&mut self, head: ResponseHead) -> Delivery {
        let Some(request) = self.request.take() else {
            return if self.head.as_ref() == Some(&head) {
                Delivery::Sent
            } else {
                Delivery::Mismatch
            };
        };
        let mut headers = vec![(name::CONTENT_TYPE, head.content_type.as_str())];
        if let Some(release) = &head.release {
            headers.push((name::RELEASE, release.as_str()));
        }
        self.writer = StreamWriter::start(request, head.status, &headers).ok();
        self.head = Some(head);
        if self.writer.is_some() { Delivery::Sent } else { Delivery::CallerGone }
    }

    fn data(&mut self, offset: u64, bytes: &[u8]) -> Delivery {
        let repeated = self.sent.saturating_sub(offset).min(bytes.len() as u64) as usize;
        let (old, new) = bytes.split_at(repeated);
        let start = offset as usize;
        if !old.is_empty() && self.prefix.get(start..start + old.len()) != Some(old) {
            return Delivery::Mismatch;
        }
        if new.is_empty() {
            return Delivery::Sent;
        }
        if self.sent == 0 {
            counts::first_byte(self.arrived.elapsed());
        }
        let remaining = MAX_PREFIX_BYTES.saturating_sub(self.prefix.len());
        self.prefix.extend_from_slice(&new[..new.len().min(remaining)]);
        self.sent += new.len() as u64;
        self.position.advance_all(new);
        if self.write(new) { Delivery::Sent } else { Delivery::CallerGone }
    }

    fn keep_alive(&mut self) -> bool {
        if self.is_abandoned() {
            return false;
        }
        let skip_comment =
            self.writer.is_none() || !self.is_stream() || self.position.is_inside_event();
        skip_comment || self.write(KEEPALIVE_COMMENT)
    }
}

fn write(writer: &mut impl Write, bytes: &[u8]) -> bool {
    writer.write_all(bytes).and_then(|()| writer.flush()).is_ok()
}

fn body(refusal: &Refusal) -> String {
    let outcome = refusal.outcome.as_str();
    let error = serde_json::json!({ "message": refusal.message, "outcome": outcome });
    serde_json::json!({ "error": error }).to_string()
}

/// Responds to a request with an error.
pub(crate) fn respond_error(request: Request, refusal: &Refusal) {
    counts::ended(refusal.outcome.as_str());
    let response = Response::from_string(body(refusal))
        .with_status_code(refusal.status)
        .with_header(name::CONTENT_TYPE, "application/json")
        .with_header(name::OUTCOME, refusal.outcome.as_str());
    request.respond(match refusal.retry_after {
        Some(seconds) => response.with_header("retry-after", &seconds.to_string()),
        None => response,
    });
}

/// Responds to a request with plain text.
pub(crate) fn respond_text(request: Request, status: u16, text: &str) {
    request.respond(Response::from_string(text).with_status_code(status));
}
