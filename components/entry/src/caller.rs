//! The callers' address: reads requests, and answers each with an answer or a truthful refusal.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Digest, ReleaseId, ServiceId};
use crossbeam_channel::{Sender, bounded};
use net::{Mailbox, StreamWriter, header, read_body};
use proto::{Outcome, header as name};
use settings::EntrySettings;
use telemetry::MetricsPage;
use tiny_http::{Header, Request, Response};

use crate::{
    attempt::{Attempter, Call, End, Sink, write_all},
    event::{Ask, Decision, Event, Failure, Grant, Refusal},
};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(300);

/// Serves callers.
#[derive(Clone)]
pub(crate) struct Callers {
    pub(crate) settings: EntrySettings,
    pub(crate) mailbox: Mailbox<Event>,
    pub(crate) attempter: Attempter,
    pub(crate) metrics: MetricsPage,
    /// Whether this entry takes new work.
    pub(crate) ready: Arc<AtomicBool>,
}

impl Callers {
    /// Handles one request.
    pub(crate) fn handle(&self, mut request: Request) {
        let url = request.url().to_owned();
        match url.as_str() {
            "/healthz" => text(request, 200, "ok\n"),
            "/readyz" if self.ready.load(Ordering::Relaxed) => text(request, 200, "ready\n"),
            "/readyz" => text(request, 503, "draining\n"),
            "/metrics" => text(request, 200, &self.metrics.render()),
            _ => match self.parse(&mut request, &url) {
                Ok(call) => self.serve(request, call),
                Err(refusal) => refuse(request, &refusal),
            },
        }
    }

    fn parse(&self, request: &mut Request, url: &str) -> Result<Call, Refusal> {
        let bad = |status, message: &str| Refusal {
            status,
            message: message.to_owned(),
            outcome: Outcome::NotRun,
            retry_after: None,
        };
        let (service, path) = url
            .trim_start_matches('/')
            .split_once('/')
            .ok_or_else(|| bad(404, "the path names no service; use /SERVICE/PATH"))?;
        let service: ServiceId = service.parse().map_err(|_| {
            bad(404, "the path names no service; use /SERVICE/PATH with a service's id")
        })?;
        let key = header(request, name::AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
        let key = key.ok_or_else(|| bad(401, "the key is missing; send Authorization: Bearer"))?;
        let key = Digest::of(key.as_bytes());
        let deadline = self.deadline(request);
        let passed = [name::CONTENT_TYPE, name::IDEMPOTENCY_KEY];
        let headers: Vec<(&'static str, String)> = passed
            .into_iter()
            .filter_map(|key| Some((key, header(request, key)?.to_owned())))
            .collect();
        let method = request.method().to_string();
        let body = read_body(request, self.settings.body).ok_or_else(|| {
            let limit = self.settings.body;
            bad(413, &format!("the body is cut or larger than {limit}; send less"))
        })?;
        let path = format!("/{path}");
        let fingerprint = fingerprint(&service, &method, &path, &body);
        let ask = Ask {
            key,
            service,
            method,
            path,
            fingerprint,
            release: None,
            tried: Vec::new(),
            deadline,
        };
        Ok(Call { ask, headers, body })
    }

    fn deadline(&self, request: &Request) -> Instant {
        let asked = header(request, name::DEADLINE).and_then(|v| v.parse().ok());
        let wait = asked.map_or(self.settings.deadline.0, Duration::from_millis);
        Instant::now() + wait.min(MAX_DEADLINE)
    }

    fn serve(&self, request: Request, mut call: Call) {
        let mut sink = CallerSink::new(request);
        let mut decision = self.ask(|reply| Event::Arrived { ask: call.ask.clone(), reply });
        loop {
            let grant = match decision {
                Decision::Go(grant) => grant,
                Decision::Refuse(refusal) => return sink.refuse(&refusal),
            };
            match self.attempter.run(&call, &grant, &mut sink) {
                End::Answered => {
                    // A stopping entry ends once no request is in progress, so the answer goes first.
                    sink.finish();
                    self.mailbox
                        .send(Event::Answered { vm: grant.choice.vm, attempt: grant.attempt });
                    return;
                }
                End::CallerGone => {
                    self.mailbox.send(Event::Ended {
                        vm: grant.choice.vm,
                        attempt: grant.attempt,
                        failed: false,
                    });
                    return;
                }
                End::Failed(failure) if !may_repeat(&grant, &failure) || sink.started() => {
                    sink.refuse(&lost(&failure));
                    self.mailbox.send(Event::Ended {
                        vm: failure.vm,
                        attempt: grant.attempt,
                        failed: true,
                    });
                    return;
                }
                End::Failed(last) => {
                    call.ask.tried.push(last.vm.clone());
                    let ask = call.ask.clone();
                    decision = self.ask(|reply| Event::Again { ask, last, reply });
                }
            }
        }
    }

    fn ask(&self, event: impl FnOnce(Sender<Decision>) -> Event) -> Decision {
        let (reply, decision) = bounded(1);
        self.mailbox.send(event(reply));
        decision.recv().unwrap_or_else(|_| {
            Decision::Refuse(Refusal {
                status: 503,
                message: "this entry stops; retry in 1s at another".to_owned(),
                outcome: Outcome::NotRun,
                retry_after: Some(1),
            })
        })
    }
}

/// Whether a request may be run again after a failed attempt.
fn may_repeat(grant: &Grant, failure: &Failure) -> bool {
    match failure.outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => grant.repeatable,
        Outcome::Run => false,
    }
}

/// The refusal of a request whose attempt was lost.
fn lost(failure: &Failure) -> Refusal {
    let message = match failure.outcome {
        Outcome::NotRun => "the endpoint did not take the request; retry",
        Outcome::Run => "the request ran, but its answer was lost; do not send it again",
        Outcome::Unknown => "the request may have run; look before you send it again",
    };
    let message = message.to_owned();
    Refusal { status: 502, message, outcome: failure.outcome, retry_after: None }
}

fn fingerprint(service: &ServiceId, method: &str, path: &str, body: &[u8]) -> Digest {
    let body = Digest::of(body);
    Digest::of(format!("{service} {method} {path} {body}").as_bytes())
}

/// Sends an answer to a caller.
struct CallerSink {
    request: Option<Request>,
    out: Option<StreamWriter>,
    streaming: bool,
}

impl CallerSink {
    fn new(request: Request) -> CallerSink {
        CallerSink { request: Some(request), out: None, streaming: false }
    }

    fn finish(mut self) {
        if let Some(out) = self.out.take() {
            // The caller may be gone.
            let _ = out.finish();
        }
    }

    /// Answers with an error; a begun stream gets an error event and is then broken off.
    fn refuse(mut self, refusal: &Refusal) {
        if let Some(request) = self.request.take() {
            refuse(request, refusal);
        } else if let Some(mut out) = self.out.take().filter(|_| self.streaming) {
            write_all(&mut out, format!("event: error\ndata: {}\n\n", body(refusal)).as_bytes());
        }
    }
}

impl Sink for CallerSink {
    fn head(&mut self, status: u16, content_type: &str, release: Option<&ReleaseId>) -> bool {
        let Some(request) = self.request.take() else { return false };
        self.streaming = content_type.starts_with("text/event-stream");
        let mut headers = vec![(name::CONTENT_TYPE, content_type)];
        if let Some(release) = release {
            headers.push((name::RELEASE, release.as_str()));
        }
        self.out = StreamWriter::start(request, status, &headers).ok();
        self.out.is_some()
    }

    fn data(&mut self, bytes: &[u8]) -> bool {
        self.out.as_mut().is_some_and(|out| write_all(out, bytes))
    }

    fn started(&self) -> bool {
        self.request.is_none()
    }
}

fn body(refusal: &Refusal) -> String {
    let outcome = refusal.outcome.as_str();
    let error = serde_json::json!({ "message": refusal.message, "outcome": outcome });
    serde_json::json!({ "error": error }).to_string()
}

fn refuse(request: Request, refusal: &Refusal) {
    let mut response = Response::from_string(body(refusal)).with_status_code(refusal.status);
    let mut add = |name: &str, value: &str| {
        if let Ok(header) = Header::from_bytes(name, value) {
            response.add_header(header);
        }
    };
    add(name::CONTENT_TYPE, "application/json");
    add(name::OUTCOME, refusal.outcome.as_str());
    if let Some(seconds) = refusal.retry_after {
        add("retry-after", &seconds.to_string());
    }
    // The caller may be gone.
    let _ = request.respond(response);
}

fn text(request: Request, status: u16, text: &str) {
    // The caller may be gone.
    let _ = request.respond(Response::from_string(text).with_status_code(status));
}
