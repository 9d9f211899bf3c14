//! Takes attempts from entries and streams their answers, also again over a new connection.

use std::{io::Write, time::Duration};

use attempts::{AttemptRequest, KeyUse};
use base::{AttemptId, ByteSize};
use crossbeam_channel::{Sender, bounded};
use net::{Request, StreamWriter, header, query, read_body, refuse};
use proto::{AttemptRef, Fate, Frame, RefusalReason, header as name};

use crate::{
    answer::{Answer, Ending, Position, Step},
    core::Shared,
    event::{Event, Opened, Refused},
    run,
};

/// Largest accepted body.
const BODY: ByteSize = ByteSize(64 << 20);
/// Silence after which a heartbeat is sent.
const HEARTBEAT: Duration = Duration::from_millis(1000);

/// A call as the entry passes it on.
pub(crate) struct Call {
    pub(crate) offer: AttemptRequest,
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

/// Handles a request that carries an attempt.
pub(crate) fn offered(shared: &Shared, mut request: Request) {
    let Some(call) = parse(&mut request) else {
        refuse(request, 400, "attempt is malformed; update the entry", "not-run");
        return;
    };
    let attempt = call.offer.attempt;
    let Ok(mut out) = StreamWriter::start(request, 200, &[]) else { return };
    let event = |reply| Event::Offer { offer: call.offer.clone(), reply };
    // A core that ends drops the offer before it starts anything.
    match ask(shared, event, Fate::NotRun) {
        Ok(answer) => {
            let reader = answer.clone();
            run::start(shared, call, answer);
            relay(attempt, &reader, 0, &mut out);
        }
        Err(refused) => refuse_frame(refused, &mut out),
    }
    // The entry may be gone; it can come again.
    let _ = out.finish();
}

/// Handles a request for the rest of an answer; makes an attempt that never arrived final.
pub(crate) fn resumed(shared: &Shared, request: Request, id: &str) {
    let Some((attempt, offset)) = parse_resume(&request, id) else {
        refuse(request, 400, "attempt is malformed; update the entry", "unknown");
        return;
    };
    let Ok(mut out) = StreamWriter::start(request, 200, &[]) else { return };
    match ask(shared, |reply| Event::Resume { attempt, reply }, Fate::Unknown) {
        Ok(answer) => relay(attempt.attempt, &answer, offset, &mut out),
        Err(refused) => refuse_frame(refused, &mut out),
    }
    let _ = out.finish();
}

fn parse(request: &mut Request) -> Option<Call> {
    let get = |key| header(request, key);
    let deadline: u64 = get(name::DEADLINE)?.parse().ok()?;
    let stamp: u64 = get(name::STAMP)?.parse().ok()?;
    let offer = AttemptRequest {
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
                // The core knows.
                authoritative: false,
            }),
            None => None,
        },
    };
    let method = get(name::METHOD)?.to_owned();
    let path = get(name::PATH)?.to_owned();
    let passed = [
        name::CONTENT_TYPE,
        name::IDEMPOTENCY_KEY,
        name::ATTEMPT,
        name::REQUEST_ID,
        name::PRIORITY,
    ];
    let headers = passed.into_iter().filter_map(|key| Some((key, get(key)?.to_owned()))).collect();
    let body = read_body(request, BODY)?;
    Some(Call { offer, method, path, headers, body })
}

fn parse_resume(request: &Request, id: &str) -> Option<(AttemptRef, u64)> {
    let (id, _) = id.split_once('?')?;
    let attempt = AttemptRef {
        attempt: id.parse().ok()?,
        incarnation: header(request, name::INCARNATION)?.parse().ok()?,
        stamp: header(request, name::STAMP)?.parse().ok()?,
    };
    let offset = query(request.url(), "offset")?.parse().ok()?;
    Some((attempt, offset))
}

/// Asks the core; `stopped` is the fate if the core has ended.
fn ask(shared: &Shared, event: impl FnOnce(Sender<Opened>) -> Event, stopped: Fate) -> Opened {
    let (reply, opened) = bounded(1);
    let refused = Refused { reason: RefusalReason::Draining, fate: stopped };
    if !shared.mailbox.send(event(reply)) {
        return Err(refused);
    }
    opened.recv().unwrap_or(Err(refused))
}

fn refuse_frame(refused: Refused, out: &mut impl Write) {
    let Refused { reason, fate } = refused;
    // Without this answer the entry asks again.
    let _ = Frame::Refused { reason, fate }.write(out);
}

/// Passes the answer on until it ends or the entry is gone.
fn relay(attempt: AttemptId, answer: &Answer, offset: u64, out: &mut impl Write) {
    let reader = answer.reader();
    let mut position = Position { head: false, offset };
    loop {
        let frame = match reader.next(&position, HEARTBEAT) {
            Step::Nothing => Frame::Heartbeat,
            Step::Head(head) => {
                position.head = true;
                let (status, content_type) = (head.status, head.content_type);
                Frame::Head { attempt, status, content_type, release: head.release }
            }
            Step::Data(bytes) => {
                let frame = Frame::data(position.offset, &bytes);
                position.offset += bytes.len() as u64;
                frame
            }
            Step::End(Ending::Whole) => Frame::End { length: position.offset },
            Step::End(Ending::Failed { crash, fate }) => Frame::Failed { crash, fate },
            Step::Lost => Frame::Refused { reason: RefusalReason::NoAnswer, fate: Fate::Unknown },
        };
        let last =
            matches!(frame, Frame::End { .. } | Frame::Failed { .. } | Frame::Refused { .. });
        if frame.write(out).is_err() || last {
            return;
        }
    }
}
