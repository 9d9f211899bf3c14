//! HTTP handlers that accept attempts from entries and stream or resume their responses.

use std::{io::Write, time::Duration};

use attempts::{AttemptRequest, KeyUse};
use base::{AttemptId, ByteSize};
use crossbeam_channel::{Sender, bounded};
use net::{Request, StreamWriter, header, query_param, read_body, respond_with_error};
use proto::{AttemptRef, ExecutionStatus, Frame, RefusalReason, header as name};

use crate::{
    core::Shared,
    event::{Event, OpenResult, Refusal},
    response::{Position, ReadEvent, ResponseBuffer, StreamEnd},
    run,
};

/// Maximum size of a request body.
const MAX_BODY_SIZE: ByteSize = ByteSize(64 << 20);
/// Time without data after which a heartbeat is sent.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1000);

/// A caller's request as the entry forwards it.
pub(crate) struct ForwardedCall {
    pub(crate) request: AttemptRequest,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

/// Handles a request to start an attempt.
pub(crate) fn handle_start(shared: &Shared, mut request: Request) {
    let Some(call) = parse(&mut request) else {
        respond_with_error(request, 400, "attempt is malformed; update the entry", "not-run");
        return;
    };
    let attempt = call.request.attempt;
    let Ok(mut out) = StreamWriter::start(request, 200, &[]) else { return };
    let event = |reply| Event::Start { request: call.request.clone(), reply };
    // If the core stops, it drops the request before starting anything, so the attempt has not run.
    match ask_core(shared, event, ExecutionStatus::NotRun) {
        Ok(response) => {
            let reader = response.clone();
            run::start(shared, call, response);
            relay(attempt, &reader, 0, &mut out);
        }
        Err(refusal) => write_refusal(refusal, &mut out),
    }
    // An entry that lost the connection can resume.
    let _ = out.finish();
}

/// Handles a request for the rest of a response. An attempt that never arrived is cancelled for
/// good.
pub(crate) fn handle_resume(shared: &Shared, request: Request, id: &str) {
    let Some((attempt, offset)) = parse_resume(&request, id) else {
        respond_with_error(request, 400, "attempt is malformed; update the entry", "unknown");
        return;
    };
    let Ok(mut out) = StreamWriter::start(request, 200, &[]) else { return };
    match ask_core(shared, |reply| Event::Resume { attempt, reply }, ExecutionStatus::Unknown) {
        Ok(response) => relay(attempt.attempt, &response, offset, &mut out),
        Err(refusal) => write_refusal(refusal, &mut out),
    }
    let _ = out.finish();
}

fn parse(request: &mut Request) -> Option<ForwardedCall> {
    let get = |key| header(request, key);
    let deadline: u64 = get(name::DEADLINE)?.parse().ok()?;
    let stamp: u64 = get(name::STAMP)?.parse().ok()?;
    let attempt_request = AttemptRequest {
        attempt: get(name::ATTEMPT)?.parse().ok()?,
        incarnation: get(name::INCARNATION)?.parse().ok()?,
        release: get(name::RELEASE).and_then(|r| r.parse().ok()),
        deadline: Duration::from_millis(deadline),
        stamp: Duration::from_millis(stamp),
        key: match get(name::FINGERPRINT) {
            Some(fingerprint) => Some(KeyUse {
                workspace: get(name::WORKSPACE)?.parse().ok()?,
                key: get(name::IDEMPOTENCY_KEY)?.to_owned(),
                fingerprint: fingerprint.parse().ok()?,
                // The core sets it.
                authoritative: false,
            }),
            None => None,
        },
    };
    let method = get(name::METHOD)?.to_owned();
    let path = get(name::PATH)?.to_owned();
    let forwarded = [
        name::CONTENT_TYPE,
        name::IDEMPOTENCY_KEY,
        name::ATTEMPT,
        name::REQUEST_ID,
        name::PRIORITY,
    ];
    let headers =
        forwarded.into_iter().filter_map(|key| Some((key, get(key)?.to_owned()))).collect();
    let body = read_body(request, MAX_BODY_SIZE)?;
    Some(ForwardedCall { request: attempt_request, method, path, headers, body })
}

fn parse_resume(request: &Request, id: &str) -> Option<(AttemptRef, u64)> {
    let (id, _) = id.split_once('?')?;
    let attempt = AttemptRef {
        attempt: id.parse().ok()?,
        incarnation: header(request, name::INCARNATION)?.parse().ok()?,
        stamp: header(request, name::STAMP)?.parse().ok()?,
    };
    let offset = query_param(request.url(), "offset")?.parse().ok()?;
    Some((attempt, offset))
}

/// Sends an event to the core and waits for the reply; `stopped` is the fate if the core has
/// stopped.
fn ask_core(
    shared: &Shared,
    event: impl FnOnce(Sender<OpenResult>) -> Event,
    stopped: ExecutionStatus,
) -> OpenResult {
    let (reply, result) = bounded(1);
    let refusal = Refusal { reason: RefusalReason::Draining, fate: stopped };
    if !shared.mailbox.send(event(reply)) {
        return Err(refusal);
    }
    result.recv().unwrap_or(Err(refusal))
}

fn write_refusal(refusal: Refusal, out: &mut impl Write) {
    let Refusal { reason, fate } = refusal;
    // If this frame is lost, the entry asks again.
    let _ = Frame::Refused { reason, fate }.write(out);
}

/// Streams the response from `offset` on until it ends or the entry disconnects.
fn relay(attempt: AttemptId, response: &ResponseBuffer, offset: u64, out: &mut impl Write) {
    let reader = response.reader();
    let mut position = Position { head: false, offset };
    loop {
        let frame = match reader.next(&position, HEARTBEAT_INTERVAL) {
            ReadEvent::TimedOut => Frame::Heartbeat,
            ReadEvent::Head(head) => {
                position.head = true;
                let (status, content_type) = (head.status, head.content_type);
                Frame::Head { attempt, status, content_type, release: head.release }
            }
            ReadEvent::Data(bytes) => {
                let frame = Frame::data(position.offset, &bytes);
                position.offset += bytes.len() as u64;
                frame
            }
            ReadEvent::End(StreamEnd::Complete) => Frame::End { length: position.offset },
            ReadEvent::End(StreamEnd::Failed { crash, fate }) => Frame::Failed { crash, fate },
            ReadEvent::Evicted => {
                Frame::Refused { reason: RefusalReason::NoAnswer, fate: ExecutionStatus::Unknown }
            }
        };
        let last =
            matches!(frame, Frame::End { .. } | Frame::Failed { .. } | Frame::Refused { .. });
        if frame.write(out).is_err() || last {
            return;
        }
    }
}
