//! Runs one attempt at the endpoint and keeps its answer.

use std::{
    io::Read,
    sync::Arc,
    time::{Duration, Instant},
};

use base::AttemptId;
use proto::{Fate, Outcome, header as name};
use settings::EndpointKind;
use ureq::{Body, http::Response};

use crate::{
    answer::{Answer, Ending, Head},
    attempt::Call,
    core::Shared,
    event::Event,
};

/// Bytes that are read from the endpoint at once.
const PIECE_BYTES: usize = 8 << 10;
/// Silence of a model engine after which its answer is asked for over a new connection.
const SILENCE: Duration = Duration::from_secs(3);
/// Failed connections in a row, without a byte between them, after which an answer is given up.
const MAX_RESUMES: u32 = 3;

/// An attempt that runs.
struct Run<'a> {
    shared: &'a Shared,
    call: &'a Call,
    answer: &'a Answer,
    made: Instant,
    deadline: Instant,
    /// Failed connections since the last byte.
    failures: u32,
}

/// Why a connection to the endpoint gave no more.
enum Break {
    /// It went silent.
    Silent,
    /// It failed.
    Broken,
}

/// Starts the attempt on a thread of its own, so that it lives longer than the entry's connection.
pub(crate) fn start(shared: &Shared, call: Call, answer: Arc<Answer>) {
    let shared = shared.clone();
    let made = Instant::now();
    let deadline = made + call.offer.deadline;
    std::thread::spawn(move || {
        let mut run =
            Run { shared: &shared, call: &call, answer: &answer, made, deadline, failures: 0 };
        let ending = run.run();
        answer.end(ending);
        let fate = match ending {
            Ending::Whole => Fate::Done,
            Ending::Failed { fate, .. } => fate,
        };
        shared.mailbox.send(Event::Finished { attempt: call.offer.attempt, fate });
    });
}

impl Run<'_> {
    fn run(&mut self) -> Ending {
        // The thread may have been paused since the attempt was accepted.
        if Instant::now() >= self.deadline {
            return Ending::Failed { crash: None, fate: Fate::NotRun };
        }
        let mut source = match self.send() {
            Ok(response) => Ok(response),
            Err(err) if never_connected(&err) => {
                return Ending::Failed { crash: None, fate: Fate::NotRun };
            }
            Err(err) => Err(reason(&err)),
        };
        loop {
            let broken = match source {
                Ok(response) => match self.read(response) {
                    Ok(ending) => return ending,
                    Err(broken) => broken,
                },
                Err(broken) => broken,
            };
            if let Break::Broken = broken {
                self.failures += 1;
            }
            if !self.may_resume() {
                return self.fail();
            }
            source = self.resume();
        }
    }

    fn client(&self) -> ureq::Agent {
        net::single(match self.shared.kind {
            EndpointKind::Model => SILENCE,
            // A plain service may work in silence until the caller stops waiting.
            EndpointKind::Plain => self.deadline.saturating_duration_since(Instant::now()),
        })
    }

    fn send(&self) -> Result<Response<Body>, ureq::Error> {
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
        let kind = self.shared.kind == EndpointKind::Model;
        let wanted = self.answer.wanted(now) && now < self.deadline;
        kind && wanted && self.failures < MAX_RESUMES
    }

    /// Asks the engine for the rest of the answer over a new connection.
    fn resume(&self) -> Result<Response<Body>, Break> {
        let (addr, attempt) = (self.shared.engine.addr(), self.call.offer.attempt);
        let offset = self.answer.length();
        let url = format!("http://{addr}/v1/answers/{attempt}?offset={offset}");
        let response = self.client().get(url).call().map_err(|err| reason(&err))?;
        if response.status().is_success() { Ok(response) } else { Err(Break::Broken) }
    }

    fn read(&mut self, response: Response<Body>) -> Result<Ending, Break> {
        if self.is_refusal(&response) {
            return Ok(Ending::Failed { crash: None, fate: Fate::NotRun });
        }
        let head = head_of(&response);
        let wanted = &self.call.offer.release;
        if wanted.is_some() && head.release.is_some() && head.release != *wanted {
            return Ok(self.give_up());
        }
        self.answer.set_head(head);
        let mut reader = response.into_body().into_reader();
        let mut buffer = vec![0; PIECE_BYTES];
        loop {
            match reader.read(&mut buffer) {
                Ok(0) => return Ok(Ending::Whole),
                Ok(n) => {
                    self.failures = 0;
                    let late = Instant::now() >= self.deadline;
                    if !self.answer.push(&buffer[..n], self.deadline) || late {
                        return Ok(self.give_up());
                    }
                }
                Err(err) if err.kind() == std::io::ErrorKind::TimedOut => {
                    return Err(Break::Silent);
                }
                Err(_) => return Err(Break::Broken),
            }
        }
    }

    /// Whether the engine states that it did not run the call, as one that lost its weights does.
    fn is_refusal(&self, response: &Response<Body>) -> bool {
        let outcome = response.headers().get(name::OUTCOME);
        let not_run = outcome.is_some_and(|v| v.as_bytes() == Outcome::NotRun.as_str().as_bytes());
        self.shared.kind == EndpointKind::Model && not_run && self.answer.length() == 0
    }

    fn fail(&self) -> Ending {
        if Instant::now() >= self.deadline || !self.answer.wanted(Instant::now()) {
            return self.give_up();
        }
        Ending::Failed { crash: self.shared.crash(self.made), fate: Fate::Unknown }
    }

    /// Ends an attempt that nobody waits for, or that answers from another release.
    fn give_up(&self) -> Ending {
        cancel(self.shared, self.call.offer.attempt);
        Ending::Failed { crash: None, fate: Fate::Unknown }
    }
}

/// Frees the model engine from an attempt; a plain service cannot be stopped.
pub(crate) fn cancel(shared: &Shared, attempt: AttemptId) {
    if shared.kind == EndpointKind::Model {
        let engine = shared.engine.clone();
        shared.workers.run(move || engine.cancel(attempt));
    }
}

fn head_of(response: &Response<Body>) -> Head {
    let get = |key: &str| response.headers().get(key).and_then(|v| v.to_str().ok());
    Head {
        status: response.status().as_u16(),
        content_type: get(name::CONTENT_TYPE).unwrap_or("application/octet-stream").to_owned(),
        release: get(name::RELEASE).and_then(|r| r.parse().ok()),
    }
}

fn reason(err: &ureq::Error) -> Break {
    match err {
        ureq::Error::Timeout(_) => Break::Silent,
        _ => Break::Broken,
    }
}

/// Whether the endpoint cannot have seen the request.
fn never_connected(err: &ureq::Error) -> bool {
    match err {
        ureq::Error::Io(err) => err.kind() == std::io::ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(ureq::Timeout::Connect) => true,
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => true,
        _ => false,
    }
}
