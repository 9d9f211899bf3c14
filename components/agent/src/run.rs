//! Runs one attempt at the endpoint and buffers its response.

use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};

use base::{AttemptId, EVENT_STREAM, EventPosition};
use proto::{ExecutionStatus, Outcome, header as name};
use settings::EndpointKind;
use ureq::{Body, http::Response};

use crate::{
    attempt::ForwardedCall,
    core::Shared,
    event::Event,
    response::{ResponseBuffer, ResponseHead, StreamEnd},
};

/// Size of the buffer for reads from the endpoint.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// Time without data from a model engine after which the response is resumed over a new connection.
const MODEL_IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Consecutive failed connections, without a byte received, after which a response is abandoned.
const MAX_FAILURES: u32 = 3;

/// A running attempt.
struct AttemptRun<'a> {
    shared: &'a Shared,
    call: &'a ForwardedCall,
    response: &'a ResponseBuffer,
    started_at: Instant,
    deadline: Instant,
    /// Failed connections since the last byte.
    failures: u32,
    /// The end of the data so far, if it is a stream of events.
    position: EventPosition,
}

/// Why reading from the endpoint was interrupted.
enum Interruption {
    /// No data arrived in time.
    IdleTimeout,
    /// The connection failed.
    Failed,
}

/// Starts the attempt on its own thread, so that it can outlive the entry's connection.
pub(crate) fn start(shared: &Shared, call: ForwardedCall, response: Arc<ResponseBuffer>) {
    let shared = shared.clone();
    let started_at = Instant::now();
    let deadline = started_at + call.request.deadline;
    std::thread::spawn(move || {
        let mut run = AttemptRun {
            shared: &shared,
            call: &call,
            response: &response,
            started_at,
            deadline,
            failures: 0,
            position: EventPosition::default(),
        };
        let end = run.run();
        response.end(end);
        let fate = match end {
            StreamEnd::Complete => ExecutionStatus::Done,
            StreamEnd::Failed { fate, .. } => fate,
        };
        shared.mailbox.send(Event::Finished { attempt: call.request.attempt, fate });
    });
}

impl AttemptRun<'_> {
    fn run(&mut self) -> StreamEnd {
        // The thread may have been paused since the attempt was accepted.
        if Instant::now() >= self.deadline {
            return StreamEnd::Failed { crash: None, fate: ExecutionStatus::NotRun };
        }
        let mut source = match self.send_call() {
            Ok(response) => Ok(response),
            Err(err) if never_connected(&err) => {
                return StreamEnd::Failed { crash: None, fate: ExecutionStatus::NotRun };
            }
            Err(err) => Err(classify_error(&err)),
        };
        loop {
            let interruption = match source {
                Ok(response) => match self.read(response) {
                    Ok(end) => return end,
                    Err(interruption) => interruption,
                },
                Err(interruption) => interruption,
            };
            if let Interruption::Failed = interruption {
                self.failures += 1;
            }
            if !self.may_resume() {
                return self.fail();
            }
            source = self.resume();
        }
    }

    fn client(&self) -> ureq::Agent {
        net::unpooled_client(match self.shared.kind {
            EndpointKind::Model => MODEL_IDLE_TIMEOUT,
            // A plain service may send nothing until the caller's deadline.
            EndpointKind::Plain => self.deadline.saturating_duration_since(Instant::now()),
        })
    }

    fn send_call(&self) -> Result<Response<Body>, ureq::Error> {
        let call = self.call;
        let url = format!("http://{}{}", self.shared.engine.addr(), call.path);
        let mut request = ureq::http::Request::builder().method(call.method.as_str()).uri(url);
        for (key, value) in &call.headers {
            request = request.header(*key, value);
        }
        self.client().run(request.body(&call.body[..])?)
    }

    fn may_resume(&self) -> bool {
        let now = Instant::now();
        let is_model = self.shared.kind == EndpointKind::Model;
        let wanted = self.response.is_wanted(now) && now < self.deadline;
        is_model && wanted && self.failures < MAX_FAILURES
    }

    /// Requests the rest of the response from the engine over a new connection.
    fn resume(&self) -> Result<Response<Body>, Interruption> {
        let (addr, attempt) = (self.shared.engine.addr(), self.call.request.attempt);
        let offset = self.response.length();
        let url = format!("http://{addr}/v1/answers/{attempt}?offset={offset}");
        let response = self.client().get(url).call().map_err(|err| classify_error(&err))?;
        if response.status().is_success() { Ok(response) } else { Err(Interruption::Failed) }
    }

    fn read(&mut self, response: Response<Body>) -> Result<StreamEnd, Interruption> {
        if self.is_refusal(&response) {
            return Ok(StreamEnd::Failed { crash: None, fate: ExecutionStatus::NotRun });
        }
        let head = response_head(&response);
        let wanted = &self.call.request.release;
        if wanted.is_some() && head.release.is_some() && head.release != *wanted {
            return Ok(self.abandon());
        }
        let is_stream = head.content_type.starts_with(EVENT_STREAM);
        self.response.set_head(head);
        let mut reader = response.into_body().into_reader();
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            match reader.read(&mut buffer) {
                // The response may end with its connection, also if the endpoint crashed.
                Ok(0) if self.position.is_inside_event() => return Err(Interruption::Failed),
                Ok(0) => return Ok(StreamEnd::Complete),
                Ok(n) => {
                    self.failures = 0;
                    if is_stream {
                        self.position.advance_all(&buffer[..n]);
                    }
                    let is_late = Instant::now() >= self.deadline;
                    if !self.response.push(&buffer[..n], self.deadline) || is_late {
                        return Ok(self.abandon());
                    }
                }
                Err(err) if err.kind() == std::io::ErrorKind::TimedOut => {
                    return Err(Interruption::IdleTimeout);
                }
                Err(_) => return Err(Interruption::Failed),
            }
        }
    }

    /// Whether the engine reports that it did not run the call, e.g. because it lost its weights.
    fn is_refusal(&self, response: &Response<Body>) -> bool {
        let outcome = response.headers().get(name::OUTCOME);
        let not_run = outcome.is_some_and(|v| v.as_bytes() == Outcome::NotRun.as_str().as_bytes());
        self.shared.kind == EndpointKind::Model && not_run && self.response.length() == 0
    }

    fn fail(&self) -> StreamEnd {
        if Instant::now() >= self.deadline || !self.response.is_wanted(Instant::now()) {
            return self.abandon();
        }
        StreamEnd::Failed {
            crash: self.shared.detect_crash(self.started_at),
            fate: ExecutionStatus::Unknown,
        }
    }

    /// Cancels an attempt that nobody waits for, or that was answered by another release.
    fn abandon(&self) -> StreamEnd {
        cancel(self.shared, self.call.request.attempt);
        StreamEnd::Failed { crash: None, fate: ExecutionStatus::Unknown }
    }
}

/// Cancels an attempt at the model engine; a plain service does not support cancellation.
pub(crate) fn cancel(shared: &Shared, attempt: AttemptId) {
    if shared.kind == EndpointKind::Model {
        let engine = shared.engine.clone();
        shared.workers.run(move || engine.cancel(attempt));
    }
}

fn response_head(response: &Response<Body>) -> ResponseHead {
    let get = |key: &str| response.headers().get(key).and_then(|v| v.to_str().ok());
    ResponseHead {
        status: response.status().as_u16(),
        content_type: get(name::CONTENT_TYPE).unwrap_or("application/octet-stream").to_owned(),
        release: get(name::RELEASE).and_then(|r| r.parse().ok()),
    }
}

fn classify_error(err: &ureq::Error) -> Interruption {
    match err {
        ureq::Error::Timeout(_) => Interruption::IdleTimeout,
        _ => Interruption::Failed,
    }
}

/// Whether the error rules out that the endpoint received the request.
fn never_connected(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}
