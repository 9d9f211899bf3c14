//! Makes one attempt at an agent and passes its answer on to the caller.

use std::{
    io::BufReader,
    time::{Duration, Instant},
};

use base::{AttemptId, Digest, ReleaseId};
use net::Peers;
use proto::{
    AttemptRef, Crash, CrashId, CrashRecord, Fate, Frame, FrameError, Outcome, PeerClient,
    RefusalReason, header,
};
use settings::PeerKey;
use ureq::{Body, http::Response};

use crate::{
    event::{Ask, Failure, Grant, Refusal},
    refusal,
};

/// Silence after which a connection is given up; agents send a heartbeat every second.
pub(crate) const SILENCE: Duration = Duration::from_millis(3500);
/// Connections in a row that may fail, without a frame between them, before the agent counts as
/// unreachable.
const MAX_FAILURES: u32 = 2;
/// Time after the deadline that an agent has to say how the attempt ended.
const GRACE: Duration = Duration::from_secs(2);

/// What became of bytes for a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Passed {
    /// The caller has them.
    Sent,
    /// The caller is gone.
    Gone,
    /// The caller has other bytes at this offset, from an earlier attempt.
    Differs,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Head {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) release: Option<ReleaseId>,
}

/// What the caller has been sent of the answer.
pub(crate) trait Sink {
    /// Sends the head, or checks that it is the one that was sent.
    fn head(&mut self, head: Head) -> Passed;
    /// Sends the bytes at `offset`, or checks that they are those that were sent.
    fn data(&mut self, offset: u64, bytes: &[u8]) -> Passed;
    /// Tells the caller that the answer is still being made; returns false if the caller is gone.
    fn alive(&mut self) -> bool;
}

/// How an attempt ended.
pub(crate) enum End {
    /// The caller has the whole answer.
    Answered,
    /// The caller is gone.
    CallerGone,
    /// There is no whole answer.
    Failed(Failure),
    /// There will be none, whatever is tried.
    Refused(Refusal),
}

/// Makes attempts.
#[derive(Clone)]
pub(crate) struct Attempter {
    /// Opens a connection for each attempt, so that none can be one that went silent before.
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

/// Where an attempt is.
struct Track<'a> {
    grant: &'a Grant,
    /// The attempt that is read, another's if it ran under the same idempotency key.
    attempt: AttemptId,
    /// Tells the agent how far back it must remember the attempt.
    stamp: u64,
    /// Bytes of this attempt's answer that arrived.
    offset: u64,
    /// Failed connections since the last frame.
    failures: u32,
    deadline: Instant,
    fingerprint: Digest,
}

/// Why a connection gave no more frames.
enum Break {
    /// It failed, went silent or carried something else.
    Cut,
    /// Another attempt ran under the idempotency key; its answer is to be read.
    Follow(AttemptId),
}

impl Attempter {
    /// Makes the attempt that `grant` allows.
    pub(crate) fn run(&self, call: &Call, grant: &Grant, sink: &mut impl Sink) -> End {
        let mut track = Track {
            grant,
            attempt: grant.attempt,
            stamp: grant.stamp,
            offset: 0,
            failures: 0,
            deadline: call.ask.deadline,
            fingerprint: call.ask.fingerprint,
        };
        let mut source = match self.send(call, grant) {
            Err(err) if refused(&err) => return track.failed(Outcome::NotRun, None),
            Ok(response) if response.status().as_u16() != 200 => {
                return track.failed(Outcome::NotRun, None);
            }
            source => source,
        };
        loop {
            let broken = match source {
                Ok(response) if response.status().as_u16() == 200 => {
                    match self.read(&mut track, response, sink) {
                        Ok(end) => return end,
                        Err(broken) => broken,
                    }
                }
                Ok(_) | Err(_) => Break::Cut,
            };
            match broken {
                Break::Follow(attempt) => track.follow(attempt),
                Break::Cut => track.failures += 1,
            }
            if track.failures > MAX_FAILURES || track.is_late() {
                return track.failed(self.settle(&track), None);
            }
            source = self.resume(&track);
        }
    }

    fn send(&self, call: &Call, grant: &Grant) -> Result<Response<Body>, ureq::Error> {
        let left = call.ask.deadline.saturating_duration_since(Instant::now());
        let mut request = self
            .client
            .post(format!("http://{}/v1/attempts", grant.data))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key.expose()))
            .header(header::ATTEMPT, grant.attempt.to_string())
            .header(header::INCARNATION, grant.choice.incarnation.to_string())
            .header(header::STAMP, grant.stamp.to_string())
            .header(header::DEADLINE, left.as_millis().to_string())
            .header(header::PRIORITY, grant.priority.to_string())
            .header(header::WORKSPACE, grant.workspace.as_str())
            .header(header::METHOD, &call.ask.method)
            .header(header::PATH, &call.ask.path);
        if let Some(release) = &grant.choice.release {
            request = request.header(header::RELEASE, release.as_str());
        }
        if call.ask.binding.is_some() {
            request = request.header(header::FINGERPRINT, call.ask.fingerprint.to_string());
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        request.send(&call.body[..])
    }

    /// Asks for the rest of the answer over a new connection.
    fn resume(&self, track: &Track<'_>) -> Result<Response<Body>, ureq::Error> {
        let Track { grant, attempt, offset, .. } = track;
        self.client
            .get(format!("http://{}/v1/attempts/{attempt}?offset={offset}", grant.data))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key.expose()))
            .header(header::INCARNATION, grant.choice.incarnation.to_string())
            .header(header::STAMP, track.stamp.to_string())
            .call()
    }

    fn read(
        &self,
        track: &mut Track<'_>,
        response: Response<Body>,
        sink: &mut impl Sink,
    ) -> Result<End, Break> {
        let mut frames = BufReader::new(response.into_body().into_reader());
        loop {
            let frame = match Frame::read(&mut frames) {
                Ok(frame) => frame,
                Err(FrameError::Io(_) | FrameError::Closed | FrameError::Malformed(_)) => {
                    return Err(Break::Cut);
                }
            };
            track.failures = 0;
            let passed = match frame {
                Frame::Heartbeat if track.is_late() => return Err(Break::Cut),
                Frame::Heartbeat if sink.alive() => Passed::Sent,
                Frame::Heartbeat => Passed::Gone,
                Frame::Head { attempt, status, content_type, release } => {
                    if attempt != track.attempt {
                        return Err(Break::Cut);
                    }
                    if track.is_other_release(release.as_ref()) {
                        return Ok(track.failed(self.settle(track), None));
                    }
                    sink.head(Head { status, content_type, release })
                }
                Frame::Data { offset, body } => {
                    let bytes = Frame::decode(&body).map_err(|_| Break::Cut)?;
                    if offset != track.offset {
                        return Err(Break::Cut);
                    }
                    track.offset += bytes.len() as u64;
                    sink.data(offset, &bytes)
                }
                Frame::End { length } if length == track.offset => return Ok(End::Answered),
                Frame::End { .. } => return Err(Break::Cut),
                Frame::Refused { reason, fate } => return track.refused(&reason, fate),
                Frame::Failed { crash, fate } => return Ok(track.failed(outcome(fate), crash)),
            };
            match passed {
                Passed::Sent => {}
                Passed::Gone => {
                    self.drop_attempt(track);
                    return Ok(End::CallerGone);
                }
                Passed::Differs => {
                    self.drop_attempt(track);
                    return Ok(End::Refused(refusal::differs()));
                }
            }
        }
    }

    /// Frees the endpoint from an attempt that nobody waits for.
    fn drop_attempt(&self, track: &Track<'_>) {
        // An agent that cannot be reached notices that nobody reads.
        let _ = self.settle(track);
    }

    /// Makes the attempt final over a new connection.
    fn settle(&self, track: &Track<'_>) -> Outcome {
        let attempt = AttemptRef {
            attempt: track.attempt,
            incarnation: track.grant.choice.incarnation,
            stamp: track.stamp,
        };
        let control = track.grant.control;
        self.peers.forget(control);
        let fate =
            self.peers.ask(control, move |client| async move { client.cancel(attempt).await });
        fate.map_or(Outcome::Unknown, outcome)
    }
}

impl Track<'_> {
    /// Reads the answer of `attempt`, which ran under the same idempotency key.
    fn follow(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        // No stamp of this entry says when that attempt was made.
        self.stamp = 0;
        self.offset = 0;
    }

    fn is_late(&self) -> bool {
        Instant::now() >= self.deadline + GRACE
    }

    fn is_other_release(&self, stated: Option<&ReleaseId>) -> bool {
        let granted = self.grant.choice.release.as_ref();
        granted.is_some() && stated.is_some() && granted != stated
    }

    fn failed(&self, outcome: Outcome, crash: Option<Crash>) -> End {
        self.failure(outcome, crash, true)
    }

    fn failure(&self, outcome: Outcome, crash: Option<Crash>, fault: bool) -> End {
        let choice = &self.grant.choice;
        // A call under a key may have run before, even if this attempt did not.
        let outcome = match outcome {
            Outcome::NotRun if self.grant.bound && fault => Outcome::Unknown,
            outcome => outcome,
        };
        let crash = crash.map(|Crash { number, alone }| CrashRecord {
            fingerprint: self.fingerprint,
            crash: CrashId { vm: choice.vm.clone(), incarnation: choice.incarnation, number },
            alone,
            age_ms: 0,
        });
        End::Failed(Failure {
            attempt: self.grant.attempt,
            vm: choice.vm.clone(),
            outcome,
            crash,
            fault,
        })
    }

    fn refused(&self, reason: &RefusalReason, fate: Fate) -> Result<End, Break> {
        match reason {
            RefusalReason::KeyUsed { attempt } if self.attempt == self.grant.attempt => {
                Err(Break::Follow(*attempt))
            }
            RefusalReason::KeyUsed { .. } => Ok(End::Refused(refusal::key_used(outcome(fate)))),
            RefusalReason::KeyMismatch => Ok(End::Refused(refusal::key_mismatch())),
            RefusalReason::KeyUnknown => Ok(End::Refused(refusal::key_unknown())),
            RefusalReason::NoAnswer if self.attempt != self.grant.attempt => {
                Ok(End::Refused(refusal::key_used(outcome(fate))))
            }
            // The attempt went out on one connection only, which another run of the agent took.
            RefusalReason::Incarnation => Ok(self.failure(Outcome::NotRun, None, true)),
            // The agent looked at the key before it refused for these.
            RefusalReason::Busy
            | RefusalReason::Draining
            | RefusalReason::Release
            | RefusalReason::Late => Ok(self.failure(outcome(fate), None, false)),
            RefusalReason::Cancelled | RefusalReason::Duplicate | RefusalReason::NoAnswer => {
                Ok(self.failure(outcome(fate), None, true))
            }
        }
    }
}

fn refused(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

fn outcome(fate: Fate) -> Outcome {
    match fate {
        Fate::NotRun => Outcome::NotRun,
        Fate::Done => Outcome::Run,
        Fate::Running | Fate::Unknown => Outcome::Unknown,
    }
}
