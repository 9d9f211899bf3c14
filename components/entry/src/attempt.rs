//! Makes one attempt at an agent and passes its answer on to the caller.

use std::{
    io::{BufReader, Write},
    time::{Duration, Instant},
};

use base::ReleaseId;
use net::Peers;
use proto::{AttemptRef, Fate, Frame, FrameError, Outcome, PeerClient, RefusalReason, header};
use settings::PeerKey;

use crate::event::{Ask, Failure, Grant};

/// Silence after which a connection is given up; agents send a heartbeat every second.
pub(crate) const SILENCE: Duration = Duration::from_millis(3500);

/// What the caller has been sent of the answer.
pub(crate) trait Sink {
    /// Sends the head; called once, before any bytes.
    fn head(&mut self, status: u16, content_type: &str, release: Option<&ReleaseId>) -> bool;
    /// Sends bytes; returns false if the caller is gone.
    fn data(&mut self, bytes: &[u8]) -> bool;
    /// Whether the head was sent.
    fn started(&self) -> bool;
}

/// How an attempt ended.
pub(crate) enum End {
    /// The caller has the whole answer.
    Answered,
    /// The caller is gone.
    CallerGone,
    /// There is no whole answer.
    Failed(Failure),
}

/// Makes attempts.
#[derive(Clone)]
pub(crate) struct Attempter {
    pub(crate) client: ureq::Agent,
    pub(crate) peers: Peers,
    pub(crate) key: PeerKey,
}

/// A caller's call.
pub(crate) struct Call {
    pub(crate) ask: Ask,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

impl Attempter {
    /// Makes the attempt that `grant` allows.
    pub(crate) fn run(&self, call: &Call, grant: &Grant, sink: &mut impl Sink) -> End {
        let made = Instant::now();
        let response = match self.send(call, grant) {
            Ok(response) => response,
            Err(err) => {
                let outcome =
                    if refused(&err) { Outcome::NotRun } else { self.settle(grant, made) };
                return End::Failed(failure(grant, outcome, false, true));
            }
        };
        if response.status().as_u16() != 200 {
            return End::Failed(failure(grant, Outcome::NotRun, false, true));
        }
        let mut frames = BufReader::new(response.into_body().into_reader());
        let mut length = 0;
        loop {
            match Frame::read(&mut frames) {
                Ok(Frame::Heartbeat) => {}
                Ok(Frame::Head { attempt, status, content_type, release }) => {
                    if attempt != grant.attempt {
                        return self.broken(grant, made);
                    }
                    if !sink.head(status, &content_type, release.as_ref()) {
                        return End::CallerGone;
                    }
                }
                Ok(Frame::Data { offset, body }) => {
                    let Ok(bytes) = Frame::decode(&body) else { return self.broken(grant, made) };
                    if offset != length {
                        return self.broken(grant, made);
                    }
                    length += bytes.len() as u64;
                    if !sink.data(&bytes) {
                        return End::CallerGone;
                    }
                }
                Ok(Frame::End { length: whole }) if whole == length => return End::Answered,
                Ok(Frame::End { .. }) | Err(FrameError::Malformed(_)) => {
                    return self.broken(grant, made);
                }
                Ok(Frame::Refused { reason, fate }) => return refusal(grant, &reason, fate),
                Ok(Frame::Failed { crashed, fate }) => {
                    return End::Failed(failure(grant, outcome(fate), crashed, true));
                }
                Err(FrameError::Io(_) | FrameError::Closed) => return self.broken(grant, made),
            }
        }
    }

    fn send(
        &self,
        call: &Call,
        grant: &Grant,
    ) -> Result<ureq::http::Response<ureq::Body>, ureq::Error> {
        let left = call.ask.deadline.saturating_duration_since(Instant::now());
        let mut request = self
            .client
            .post(format!("http://{}/v1/attempts", grant.data))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key.expose()))
            .header(header::ATTEMPT, grant.attempt.to_string())
            .header(header::INCARNATION, grant.choice.incarnation.to_string())
            .header(header::DEADLINE, left.as_millis().to_string())
            .header(header::WORKSPACE, grant.workspace.as_str())
            .header(header::METHOD, &call.ask.method)
            .header(header::PATH, &call.ask.path);
        if let Some(release) = &grant.choice.release {
            request = request.header(header::RELEASE, release.as_str());
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        request.send(&call.body[..])
    }

    fn broken(&self, grant: &Grant, made: Instant) -> End {
        End::Failed(failure(grant, self.settle(grant, made), false, true))
    }

    /// Makes the attempt final over another connection.
    fn settle(&self, grant: &Grant, made: Instant) -> Outcome {
        let attempt = AttemptRef {
            attempt: grant.attempt,
            incarnation: grant.choice.incarnation,
            age_ms: made.elapsed().as_millis() as u64,
        };
        let fate = self
            .peers
            .ask(grant.control, move |client| async move { client.cancel(attempt).await });
        fate.map_or(Outcome::Unknown, outcome)
    }
}

fn refused(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

fn refusal(grant: &Grant, reason: &RefusalReason, fate: Fate) -> End {
    let fault = !matches!(reason, RefusalReason::Busy);
    End::Failed(failure(grant, outcome(fate), false, fault))
}

fn failure(grant: &Grant, outcome: Outcome, crashed: bool, fault: bool) -> Failure {
    Failure { attempt: grant.attempt, vm: grant.choice.vm.clone(), outcome, crashed, fault }
}

fn outcome(fate: Fate) -> Outcome {
    match fate {
        Fate::NotRun => Outcome::NotRun,
        Fate::Done => Outcome::Run,
        Fate::Running | Fate::Unknown => Outcome::Unknown,
    }
}

/// Writes to the caller, for `Sink` implementations.
pub(crate) fn write_all(out: &mut impl Write, bytes: &[u8]) -> bool {
    out.write_all(bytes).and_then(|()| out.flush()).is_ok()
}
