//! Runs one attempt at the endpoint and streams the answer to the entry.

use std::{
    io::{Read, Write},
    time::Duration,
};

use attempts::Offer;
use base::{AttemptId, ByteSize};
use crossbeam_channel::{Receiver, RecvTimeoutError, bounded};
use net::{StreamWriter, header, read_body, refuse};
use proto::{Fate, Frame, RefusalReason, header as name};
use tiny_http::Request;

use crate::{core::Shared, event::Event};

/// Largest accepted body.
const BODY: ByteSize = ByteSize(64 << 20);
/// Silence after which a heartbeat is sent.
const HEARTBEAT: Duration = Duration::from_millis(1000);
/// Bytes that are read from the endpoint at once.
const PIECE_BYTES: usize = 8 << 10;
/// Pieces that wait for a slow entry.
const PIECES: usize = 16;

/// A call as the entry passes it on.
struct Call {
    offer: Offer,
    method: String,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Vec<u8>,
}

/// What the endpoint does.
enum Piece {
    Head { status: u16, content_type: String, release: Option<base::ReleaseId> },
    Data(Vec<u8>),
    End,
    Failed { connected: bool },
}

/// Handles a request that carries an attempt.
pub(crate) fn handle(shared: &Shared, mut request: Request) {
    let Some(call) = parse(&mut request) else {
        refuse(request, 400, "attempt is malformed; update the entry", "not-run");
        return;
    };
    let attempt = call.offer.attempt;
    let Ok(mut out) = StreamWriter::start(request, 200, &[]) else { return };
    if let Err(reason) = offer(shared, &call) {
        let fate = match reason {
            RefusalReason::Duplicate | RefusalReason::Incarnation => Fate::Unknown,
            _ => Fate::NotRun,
        };
        // Without this answer the entry asks for the fate.
        let _ = Frame::Refused { reason, fate }.write(&mut out).and_then(|()| out.finish());
        return;
    }
    let pieces = start(shared, call);
    let fate = relay(shared, attempt, &pieces, &mut out);
    // The entry may be gone; it can ask for the fate. A stopping agent ends once no attempt runs, so
    // the answer goes first.
    let _ = out.finish();
    shared.mailbox.send(Event::Finished { attempt, fate });
}

fn parse(request: &mut Request) -> Option<Call> {
    let get = |key| header(request, key);
    let deadline: u64 = get(name::DEADLINE)?.parse().ok()?;
    let offer = Offer {
        attempt: get(name::ATTEMPT)?.parse().ok()?,
        incarnation: get(name::INCARNATION)?.parse().ok()?,
        release: get(name::RELEASE).and_then(|r| r.parse().ok()),
        deadline: Duration::from_millis(deadline),
    };
    let method = get(name::METHOD)?.to_owned();
    let path = get(name::PATH)?.to_owned();
    let passed = [name::CONTENT_TYPE, name::IDEMPOTENCY_KEY, name::ATTEMPT];
    let headers = passed.into_iter().filter_map(|key| Some((key, get(key)?.to_owned()))).collect();
    let body = read_body(request, BODY)?;
    Some(Call { offer, method, path, headers, body })
}

fn offer(shared: &Shared, call: &Call) -> Result<(), RefusalReason> {
    let (reply, decision) = bounded(1);
    shared.mailbox.send(Event::Offer { offer: call.offer.clone(), reply });
    decision.recv().unwrap_or(Err(RefusalReason::Draining))
}

/// Calls the endpoint on a thread of its own, so that silence can be told from work.
fn start(shared: &Shared, call: Call) -> Receiver<Piece> {
    let (pieces, received) = bounded(PIECES);
    let addr = shared.engine.addr();
    std::thread::spawn(move || {
        let client = net::single(call.offer.deadline);
        let url = format!("http://{addr}{}", call.path);
        let mut request = ureq::http::Request::builder().method(call.method.as_str()).uri(url);
        for (key, value) in &call.headers {
            request = request.header(*key, value);
        }
        let Ok(request) = request.body(call.body) else {
            // The receiver holds on until the channel is closed.
            let _ = pieces.send(Piece::Failed { connected: false });
            return;
        };
        let result = client.run(request);
        let last = match result {
            Ok(response) => read_answer(response, |piece| pieces.send(piece).is_ok()),
            Err(err) => Piece::Failed { connected: !never_connected(&err) },
        };
        let _ = pieces.send(last);
    });
    received
}

/// Whether the endpoint cannot have seen the request.
fn never_connected(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}

fn read_answer(response: ureq::http::Response<ureq::Body>, send: impl Fn(Piece) -> bool) -> Piece {
    let get = |key: &str| response.headers().get(key).and_then(|v| v.to_str().ok());
    let head = Piece::Head {
        status: response.status().as_u16(),
        content_type: get(name::CONTENT_TYPE).unwrap_or("application/octet-stream").to_owned(),
        release: get(name::RELEASE).and_then(|r| r.parse().ok()),
    };
    let mut reader = response.into_body().into_reader();
    if !send(head) {
        return Piece::End;
    }
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        match reader.read(&mut buffer) {
            Ok(0) => return Piece::End,
            Ok(n) if !send(Piece::Data(buffer[..n].to_vec())) => return Piece::End,
            Ok(_) => {}
            Err(_) => return Piece::Failed { connected: true },
        }
    }
}

/// Passes the answer on until it ends or the entry is gone.
fn relay(
    shared: &Shared,
    attempt: AttemptId,
    pieces: &Receiver<Piece>,
    out: &mut impl Write,
) -> Fate {
    let mut offset = 0;
    loop {
        let frame = match pieces.recv_timeout(HEARTBEAT) {
            Err(RecvTimeoutError::Timeout) => Frame::Heartbeat,
            Ok(Piece::Head { status, content_type, release }) => {
                Frame::Head { attempt, status, content_type, release }
            }
            Ok(Piece::Data(bytes)) => {
                let frame = Frame::data(offset, &bytes);
                offset += bytes.len() as u64;
                frame
            }
            Ok(Piece::End) => {
                // The entry may be gone; the attempt is done all the same.
                let _ = Frame::End { length: offset }.write(out);
                return Fate::Done;
            }
            Ok(Piece::Failed { connected }) => return fail(shared, connected, out),
            Err(RecvTimeoutError::Disconnected) => return fail(shared, true, out),
        };
        if frame.write(out).is_err() {
            return Fate::Unknown;
        }
    }
}

fn fail(shared: &Shared, connected: bool, out: &mut impl Write) -> Fate {
    let fate = if connected { Fate::Unknown } else { Fate::NotRun };
    let crashed = connected && shared.engine.report().is_none();
    // The entry may be gone; it can ask for the fate.
    let _ = Frame::Failed { crashed, fate }.write(out);
    fate
}
