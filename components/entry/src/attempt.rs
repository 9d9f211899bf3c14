//! Runs one attempt at an agent and forwards its response to the caller.

use std::{
    io::BufReader,
    time::{Duration, Instant},
};

use base::{AttemptId, Digest, ReleaseId};
use net::PeerCaller;
use proto::{
    AttemptRef, Crash, CrashId, CrashRecord, ExecutionStatus, Frame, FrameError, Outcome,
    PeerClient, RefusalReason, header,
};
use settings::PeerKey;
use ureq::{Body, http::Response};

use crate::{
    event::{Assignment, Failure, Refusal, RequestContext},
    refusal,
};

/// Read timeout of a connection to an agent; agents send a heartbeat every second.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(3500);
/// Consecutive failed connections, without a frame in between, that are tolerated before the agent
/// counts as unreachable.
const MAX_CONNECTION_FAILURES: u32 = 2;
/// Time after the deadline within which an agent must report how the attempt ended.
const DEADLINE_GRACE: Duration = Duration::from_secs(2);

/// The result of delivering part of a response to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// The caller has received this part, now or from an earlier attempt.
    Sent,
    /// The caller has disconnected.
    CallerGone,
    /// The caller has received a different head, or different bytes at this offset, from an earlier
    /// attempt.
    Mismatch,
}

/// Status and headers of a response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct ResponseHead {
    pub(crate) status: u16,
    pub(crate) content_type: String,
    pub(crate) release: Option<ReleaseId>,
}

/// Receives a response and forwards it to the caller. Tracks what the caller has received, so that
/// another attempt can resume the response.
pub(crate) trait ResponseSink {
    /// Sends the head, or checks that it equals the one that was already sent.
    fn head(&mut self, head: ResponseHead) -> Delivery;
    /// Sends the bytes at `offset`, or checks that they equal those that were already sent.
    fn data(&mut self, offset: u64, bytes: &[u8]) -> Delivery;
    /// Sends a keep-alive to the caller; returns `false` if the caller has disconnected.
    fn keep_alive(&mut self) -> bool;
}

/// How an attempt ended.
pub(crate) enum RunResult {
    /// The caller has received the complete response.
    Answered,
    /// The caller has disconnected.
    CallerGone,
    /// The response is missing or incomplete; another attempt may succeed.
    Failed(Failure),
    /// The request gets an error; another attempt would not help.
    Refused(Refusal),
}

/// Runs attempts.
#[derive(Clone)]
pub(crate) struct AttemptRunner {
    /// Opens a new connection for each attempt, so that no attempt reuses one that has stalled.
    pub(crate) client: ureq::Agent,
    pub(crate) peers: PeerCaller,
    pub(crate) key: PeerKey,
}

/// A caller's request with the headers and body to forward.
pub(crate) struct Call {
    pub(crate) context: RequestContext,
    pub(crate) headers: Vec<(&'static str, String)>,
    pub(crate) body: Vec<u8>,
}

/// Progress of an attempt.
struct AttemptProgress<'a> {
    assignment: &'a Assignment,
    /// The attempt whose response is read: an earlier attempt if that one used the idempotency key.
    attempt: AttemptId,
    /// Clock value of the agent from before the attempt; the agent uses it to decide whether its
    /// records reach back far enough to cover the attempt.
    stamp: u64,
    /// Number of bytes of the attempt's response that have arrived.
    offset: u64,
    /// Number of failed connections since the last frame.
    connection_failures: u32,
    deadline: Instant,
    fingerprint: Digest,
}

/// Why a connection delivered no further frames.
enum Interruption {
    /// The connection failed, timed out or carried unexpected data.
    Broken,
    /// An earlier attempt used the idempotency key; its response is read instead.
    Follow(AttemptId),
}

impl AttemptRunner {
    /// Runs the attempt described by `assignment`.
    pub(crate) fn run(
        &self,
        call: &Call,
        assignment: &Assignment,
        sink: &mut impl ResponseSink,
    ) -> RunResult {
        let mut progress = AttemptProgress {
            assignment,
            attempt: assignment.attempt,
            stamp: assignment.stamp,
            offset: 0,
            connection_failures: 0,
            deadline: call.context.deadline,
            fingerprint: call.context.fingerprint,
        };
        let mut source = match self.send(call, assignment) {
            Err(err) if connect_failed(&err) => return progress.failed(Outcome::NotRun, None),
            Ok(response) if response.status().as_u16() != 200 => {
                return progress.failed(Outcome::NotRun, None);
            }
            source => source,
        };
        loop {
            let interruption = match source {
                Ok(response) if response.status().as_u16() == 200 => {
                    match self.read(&mut progress, response, sink) {
                        Ok(end) => return end,
                        Err(interruption) => interruption,
                    }
                }
                Ok(_) | Err(_) => Interruption::Broken,
            };
            match interruption {
                Interruption::Follow(attempt) => progress.follow(attempt),
                Interruption::Broken => progress.connection_failures += 1,
            }
            if progress.connection_failures > MAX_CONNECTION_FAILURES || progress.is_overdue() {
                return progress.failed(self.cancel(&progress), None);
            }
            source = self.resume(&progress);
        }
    }

    fn send(&self, call: &Call, assignment: &Assignment) -> Result<Response<Body>, ureq::Error> {
        let remaining = call.context.deadline.saturating_duration_since(Instant::now());
        let mut request = self
            .client
            .post(format!("http://{}/v1/attempts", assignment.data))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key.expose()))
            .header(header::ATTEMPT, assignment.attempt.to_string())
            .header(header::INCARNATION, assignment.endpoint.incarnation.to_string())
            .header(header::STAMP, assignment.stamp.to_string())
            .header(header::DEADLINE, remaining.as_millis().to_string())
            .header(header::PRIORITY, assignment.priority.to_string())
            .header(header::WORKSPACE, assignment.workspace.as_str())
            .header(header::METHOD, &call.context.method)
            .header(header::PATH, &call.context.path);
        if let Some(release) = &assignment.endpoint.release {
            request = request.header(header::RELEASE, release.as_str());
        }
        if call.context.binding.is_some() {
            request = request.header(header::FINGERPRINT, call.context.fingerprint.to_string());
        }
        for (name, value) in &call.headers {
            request = request.header(*name, value);
        }
        request.send(&call.body[..])
    }

    /// Requests the rest of the response over a new connection.
    fn resume(&self, progress: &AttemptProgress<'_>) -> Result<Response<Body>, ureq::Error> {
        let AttemptProgress { assignment, attempt, offset, .. } = progress;
        self.client
            .get(format!("http://{}/v1/attempts/{attempt}?offset={offset}", assignment.data))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key.expose()))
            .header(header::INCARNATION, assignment.endpoint.incarnation.to_string())
            .header(header::STAMP, progress.stamp.to_string())
            .call()
    }

    fn read(
        &self,
        progress: &mut AttemptProgress<'_>,
        response: Response<Body>,
        sink: &mut impl ResponseSink,
    ) -> Result<RunResult, Interruption> {
        let mut frames = BufReader::new(response.into_body().into_reader());
        loop {
            let frame = match Frame::read(&mut frames) {
                Ok(frame) => frame,
                Err(FrameError::Io(_) | FrameError::Closed | FrameError::Malformed(_)) => {
                    return Err(Interruption::Broken);
                }
            };
            progress.connection_failures = 0;
            let delivery = match frame {
                Frame::Heartbeat if progress.is_overdue() => return Err(Interruption::Broken),
                Frame::Heartbeat if sink.keep_alive() => Delivery::Sent,
                Frame::Heartbeat => Delivery::CallerGone,
                Frame::Head { attempt, status, content_type, release } => {
                    if attempt != progress.attempt {
                        return Err(Interruption::Broken);
                    }
                    if progress.is_release_mismatch(release.as_ref()) {
                        return Ok(progress.failed(self.cancel(progress), None));
                    }
                    sink.head(ResponseHead { status, content_type, release })
                }
                Frame::Data { offset, body } => {
                    let bytes = Frame::decode(&body).map_err(|_| Interruption::Broken)?;
                    if offset != progress.offset {
                        return Err(Interruption::Broken);
                    }
                    progress.offset += bytes.len() as u64;
                    sink.data(offset, &bytes)
                }
                Frame::End { length } if length == progress.offset => {
                    return Ok(RunResult::Answered);
                }
                Frame::End { .. } => return Err(Interruption::Broken),
                Frame::Refused { reason, fate } => return progress.refused(&reason, fate),
                Frame::Failed { crash, fate } => return Ok(progress.failed(outcome(fate), crash)),
            };
            match delivery {
                Delivery::Sent => {}
                Delivery::CallerGone => {
                    self.abandon(progress);
                    return Ok(RunResult::CallerGone);
                }
                Delivery::Mismatch => {
                    self.abandon(progress);
                    return Ok(RunResult::Refused(refusal::response_mismatch()));
                }
            }
        }
    }

    /// Cancels an attempt whose response is no longer needed, to free the endpoint.
    fn abandon(&self, progress: &AttemptProgress<'_>) {
        // The outcome does not matter: an unreachable agent notices that nobody reads the response.
        let _ = self.cancel(progress);
    }

    /// Cancels the attempt over a new connection and returns its outcome.
    fn cancel(&self, progress: &AttemptProgress<'_>) -> Outcome {
        let attempt = AttemptRef {
            attempt: progress.attempt,
            incarnation: progress.assignment.endpoint.incarnation,
            stamp: progress.stamp,
        };
        let control = progress.assignment.control;
        self.peers.disconnect(control);
        let fate = self
            .peers
            .call_blocking(control, move |client| async move { client.cancel(attempt).await });
        fate.map_or(Outcome::Unknown, outcome)
    }
}

impl AttemptProgress<'_> {
    /// Switches to the response of `attempt`, which used the same idempotency key.
    fn follow(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
        // This entry has no stamp that tells when that attempt was created.
        self.stamp = 0;
        self.offset = 0;
    }

    fn is_overdue(&self) -> bool {
        Instant::now() >= self.deadline + DEADLINE_GRACE
    }

    fn is_release_mismatch(&self, stated: Option<&ReleaseId>) -> bool {
        let assigned = self.assignment.endpoint.release.as_ref();
        assigned.is_some() && stated.is_some() && assigned != stated
    }

    fn failed(&self, outcome: Outcome, crash: Option<Crash>) -> RunResult {
        self.failure(outcome, crash, true)
    }

    fn failure(&self, outcome: Outcome, crash: Option<Crash>, endpoint_fault: bool) -> RunResult {
        let endpoint = &self.assignment.endpoint;
        // A call with an idempotency key may have run before, even if this attempt did not.
        let outcome = match outcome {
            Outcome::NotRun if self.assignment.pinned && endpoint_fault => Outcome::Unknown,
            outcome => outcome,
        };
        let crash = crash.map(|Crash { number, alone }| CrashRecord {
            fingerprint: self.fingerprint,
            crash: CrashId { vm: endpoint.vm.clone(), incarnation: endpoint.incarnation, number },
            alone,
            age_ms: 0,
        });
        RunResult::Failed(Failure {
            attempt: self.assignment.attempt,
            vm: endpoint.vm.clone(),
            outcome,
            crash,
            endpoint_fault,
        })
    }

    fn refused(
        &self,
        reason: &RefusalReason,
        fate: ExecutionStatus,
    ) -> Result<RunResult, Interruption> {
        match reason {
            RefusalReason::KeyUsed { attempt } if self.attempt == self.assignment.attempt => {
                Err(Interruption::Follow(*attempt))
            }
            RefusalReason::KeyUsed { .. } => {
                Ok(RunResult::Refused(refusal::key_used(outcome(fate))))
            }
            RefusalReason::KeyMismatch => Ok(RunResult::Refused(refusal::key_mismatch())),
            RefusalReason::KeyUnknown => Ok(RunResult::Refused(refusal::key_unknown())),
            RefusalReason::NoAnswer if self.attempt != self.assignment.attempt => {
                Ok(RunResult::Refused(refusal::key_used(outcome(fate))))
            }
            // The attempt was sent on one connection only, and a different incarnation of the agent
            // received it.
            RefusalReason::Incarnation => Ok(self.failure(Outcome::NotRun, None, true)),
            // The agent checks the idempotency key before it refuses for these reasons.
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

fn connect_failed(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed => true,
        _ => false,
    }
}

fn outcome(fate: ExecutionStatus) -> Outcome {
    match fate {
        ExecutionStatus::NotRun => Outcome::NotRun,
        ExecutionStatus::Done => Outcome::Run,
        ExecutionStatus::Running | ExecutionStatus::Unknown => Outcome::Unknown,
    }
}
