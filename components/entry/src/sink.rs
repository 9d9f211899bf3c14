//! Sends an answer to a caller.

use std::{io::Write, time::Instant};

use base::ReleaseId;
use net::{Request, Response, StreamWriter};
use proto::header as name;

use crate::{
    attempt::{Head, Passed, Sink},
    counts,
    event::Refusal,
};

/// Most bytes that are kept to check a restarted answer against.
const KEPT_BYTES: usize = 256 << 10;
/// End of an event in an event stream.
const EVENT_END: &[u8] = b"\n\n";
/// An event stream's comment, which readers skip.
const COMMENT: &[u8] = b": wait\n\n";

/// Sends one answer.
pub(crate) struct CallerSink {
    arrived: Instant,
    request: Option<Request>,
    out: Option<StreamWriter>,
    head: Option<Head>,
    /// The first bytes that were sent, at most `KEPT_BYTES`.
    kept: Vec<u8>,
    /// All bytes that were sent.
    sent: u64,
    /// Whether the last bytes ended an event.
    between: bool,
}

impl CallerSink {
    pub(crate) fn new(request: Request) -> CallerSink {
        CallerSink {
            arrived: Instant::now(),
            request: Some(request),
            out: None,
            head: None,
            kept: Vec::new(),
            sent: 0,
            between: true,
        }
    }

    /// Marks the answer whole.
    pub(crate) fn finish(mut self) {
        if let Some(out) = self.out.take() {
            // The caller may be gone.
            let _ = out.finish();
        }
    }

    /// Whether the head was sent.
    pub(crate) fn started(&self) -> bool {
        self.request.is_none()
    }

    /// Whether the caller is gone.
    pub(crate) fn is_abandoned(&self) -> bool {
        let before = self.request.as_ref().is_some_and(Request::is_abandoned);
        before || self.out.as_ref().is_some_and(StreamWriter::is_abandoned)
    }

    /// The release that answers, once the head was sent.
    pub(crate) fn release(&self) -> Option<&ReleaseId> {
        self.head.as_ref()?.release.as_ref()
    }

    /// Whether another attempt of the same release may go on where this one broke off.
    pub(crate) fn may_restart(&self) -> bool {
        !self.started() || (self.release().is_some() && self.sent == self.kept.len() as u64)
    }

    /// Answers with an error; a begun stream gets an error event and is then broken off.
    pub(crate) fn refuse(mut self, refusal: &Refusal) {
        let stream = self.is_stream();
        if self.started() {
            counts::ended(refusal.outcome.as_str());
        }
        if let Some(request) = self.request.take() {
            refuse(request, refusal);
        } else if let Some(mut out) = self.out.take().filter(|_| stream) {
            let start = if self.between { "" } else { "\n\n" };
            let event = format!("{start}event: error\ndata: {}\n\n", body(refusal));
            write(&mut out, event.as_bytes());
        }
    }

    fn is_stream(&self) -> bool {
        let stream = |head: &Head| head.content_type.starts_with("text/event-stream");
        self.head.as_ref().is_some_and(stream)
    }

    fn write(&mut self, bytes: &[u8]) -> bool {
        self.out.as_mut().is_some_and(|out| write(out, bytes))
    }
}

impl Sink for CallerSink {
    fn head(&mut self, head: Head) -> Passed {
        let Some(request) = self.request.take() else {
            return if self.head.as_ref() == Some(&head) { Passed::Sent } else { Passed::Differs };
        };
        let mut headers = vec![(name::CONTENT_TYPE, head.content_type.as_str())];
        if let Some(release) = &head.release {
            headers.push((name::RELEASE, release.as_str()));
        }
        self.out = StreamWriter::start(request, head.status, &headers).ok();
        self.head = Some(head);
        if self.out.is_some() { Passed::Sent } else { Passed::Gone }
    }

    fn data(&mut self, offset: u64, bytes: &[u8]) -> Passed {
        let known = self.sent.saturating_sub(offset).min(bytes.len() as u64) as usize;
        let (old, new) = bytes.split_at(known);
        let start = offset as usize;
        if !old.is_empty() && self.kept.get(start..start + old.len()) != Some(old) {
            return Passed::Differs;
        }
        if new.is_empty() {
            return Passed::Sent;
        }
        if self.sent == 0 {
            counts::first_byte(self.arrived.elapsed());
        }
        let room = KEPT_BYTES.saturating_sub(self.kept.len());
        self.kept.extend_from_slice(&new[..new.len().min(room)]);
        self.sent += new.len() as u64;
        self.between = new.ends_with(EVENT_END);
        if self.write(new) { Passed::Sent } else { Passed::Gone }
    }

    fn alive(&mut self) -> bool {
        if self.is_abandoned() {
            return false;
        }
        let quiet = self.out.is_none() || !self.is_stream() || !self.between;
        quiet || self.write(COMMENT)
    }
}

fn write(out: &mut impl Write, bytes: &[u8]) -> bool {
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}

fn body(refusal: &Refusal) -> String {
    let outcome = refusal.outcome.as_str();
    let error = serde_json::json!({ "message": refusal.message, "outcome": outcome });
    serde_json::json!({ "error": error }).to_string()
}

/// Answers a request with an error.
pub(crate) fn refuse(request: Request, refusal: &Refusal) {
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

/// Answers a request with text.
pub(crate) fn text(request: Request, status: u16, text: &str) {
    request.respond(Response::from_string(text).with_status_code(status));
}
