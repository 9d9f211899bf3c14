//! Forwards a stream of events, and resumes it at another endpoint if it breaks off.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use dispatch::EndpointOutcome;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use platform::keep_alive_timeout;
use slog::info;
use tokio::{sync::mpsc, task::spawn_local, time::timeout_at};
use transport::ResponseAborted;

use crate::{
    attempt::{AttemptOptions, AttemptOutcome, LossCause, OpenStream},
    events::EventSplitter,
    request::RequestContext,
    response::{ResponseBody, response_with_head},
    serve::AttemptHistory,
    state::{Gateway, now},
};

/// Number of parts of a stream that are buffered for a slow caller.
const MAX_BUFFERED_PARTS: usize = 16;

/// Forwards one stream to its caller.
struct Relay {
    gateway: Rc<Gateway>,
    context: Rc<RequestContext>,
    history: AttemptHistory,
    events: EventSplitter,
    sender: mpsc::Sender<Result<Bytes, ResponseAborted>>,
}

/// How the stream of one endpoint ended.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken(LossCause),
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    Late,
}

impl Gateway {
    /// Returns the response to the caller and starts a task that forwards the stream.
    pub(crate) fn stream(
        self: &Rc<Gateway>,
        context: Rc<RequestContext>,
        opened: OpenStream,
        history: AttemptHistory,
    ) -> Response<ResponseBody> {
        let (sender, parts) = mpsc::channel(MAX_BUFFERED_PARTS);
        let response = response_with_head(
            opened.head.status,
            &opened.head.headers,
            ResponseBody::Stream(parts),
        );
        let events = EventSplitter::starting_after(context.facts.last_event_id);
        let relay = Relay { gateway: self.clone(), context, history, events, sender };
        self.in_flight.set(self.in_flight.get() + 1);
        let gateway = self.clone();
        spawn_local(async move {
            relay.run(opened).await;
            gateway.in_flight.set(gateway.in_flight.get() - 1);
        });
        response
    }
}

impl Relay {
    async fn run(mut self, opened: OpenStream) {
        let mut next = Some(opened);
        while let Some(opened) = next.take() {
            let view = opened.view.clone();
            let (end, assignment) = self.forward(opened).await;
            match end {
                StreamEnd::Complete => {
                    self.gateway.suspects.borrow_mut().record_answer(&self.context.fingerprint);
                    self.log_end("answered", "");
                }
                StreamEnd::CallerGone => self.log_end("caller-gone", ""),
                StreamEnd::Late => self.abort("timeout").await,
                StreamEnd::Broken(loss) => {
                    let is_loading =
                        self.gateway.dispatcher.borrow().is_loading(assignment.endpoint, now());
                    if is_loading {
                        // The endpoint aborted the stream to load other weights. Neither the request
                        // nor the endpoint is at fault.
                        drop(assignment);
                    } else {
                        self.gateway.handle_loss(&self.context, assignment, &view, loss);
                    }
                    next = self.resume().await;
                    if next.is_none() {
                        self.abort(loss.name()).await;
                    }
                }
            }
        }
    }

    /// Forwards the stream of one endpoint until it ends.
    async fn forward(&mut self, mut opened: OpenStream) -> (StreamEnd, crate::state::Assignment) {
        let first = opened.first_events(&mut self.events);
        let end = match self.send_to_caller(first).await {
            false => StreamEnd::CallerGone,
            true => self.forward_rest(&mut opened).await,
        };
        let OpenStream { mut assignment, connection, head, .. } = opened;
        if let StreamEnd::Complete = end {
            assignment.set_end(EndpointOutcome::Answered);
            if self.context.route.kind.is_retryable() {
                self.gateway.pool.put_back(connection, keep_alive_timeout(&head.headers));
            }
        }
        (end, assignment)
    }

    async fn forward_rest(&mut self, opened: &mut OpenStream) -> StreamEnd {
        let deadline = tokio::time::Instant::from_std(self.context.deadline);
        let can_resume = self.may_resume();
        loop {
            let silence_end =
                tokio::time::Instant::now() + self.gateway.settings.stream_silence_timeout;
            let until = if can_resume { silence_end.min(deadline) } else { deadline };
            let frame = tokio::select! {
                biased;
                () = self.sender.closed() => return StreamEnd::CallerGone,
                frame = timeout_at(until, opened.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if until < deadline => return StreamEnd::Broken(LossCause::TimedOut),
                Err(_) => return StreamEnd::Late,
                Ok(Some(Err(_))) => return StreamEnd::Broken(LossCause::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    let rest = self.events.remainder();
                    return if self.send_to_caller(rest).await {
                        StreamEnd::Complete
                    } else {
                        StreamEnd::CallerGone
                    };
                }
            };
            let whole = self.events.push(data);
            if !self.send_to_caller(whole).await {
                return StreamEnd::CallerGone;
            }
        }
    }

    /// Sends events to the caller. Returns false if the caller disconnected.
    async fn send_to_caller(&mut self, events: Bytes) -> bool {
        events.is_empty() || self.sender.send(Ok(events)).await.is_ok()
    }

    fn may_resume(&self) -> bool {
        self.context.route.kind.is_retryable()
            && self.history.sent_count < self.context.route.max_attempts
    }

    /// Resumes the stream at another endpoint. Returns `None` if that is not possible.
    async fn resume(&mut self) -> Option<OpenStream> {
        let broken_at = now();
        while self.may_resume() && now() < self.context.deadline {
            if !self.gateway.take_retry(&self.context) {
                self.log_not_resumed("budget");
                return None;
            }
            let request = self.context.pending_request(&self.history.endpoints, true);
            let assignment = tokio::select! {
                () = self.sender.closed() => return None,
                assignment = self.gateway.acquire(request) => assignment,
            };
            let assignment = match assignment {
                Ok(assignment) => assignment,
                Err((reason, _)) => {
                    self.log_not_resumed(reason.name());
                    return None;
                }
            };
            self.history.endpoints.push(assignment.endpoint);
            self.history.sent_count += 1;
            let options =
                AttemptOptions { is_last: !self.may_resume(), resume_after: self.events.last_id() };
            let result = tokio::select! {
                () = self.sender.closed() => return None,
                result = self.gateway.attempt(&self.context, assignment, options) => result,
            };
            match result {
                AttemptOutcome::Stream(opened) => {
                    self.events.resume();
                    self.log_resumed(broken_at, &opened);
                    return Some(*opened);
                }
                AttemptOutcome::Unsent => self.history.sent_count -= 1,
                AttemptOutcome::Refused | AttemptOutcome::Failed(_) | AttemptOutcome::Lost(_) => {}
                // A response that is not a stream cannot continue one.
                AttemptOutcome::Response(_) => {
                    self.log_not_resumed("no_stream");
                    return None;
                }
            }
        }
        self.log_not_resumed("attempts");
        None
    }

    fn log_not_resumed(&self, reason: &str) {
        let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
        info!(self.gateway.log, "stream not resumed"; "id" => id.as_deref(), "reason" => reason,
            "after" => self.events.last_id(), "tried" => self.history.endpoints.len());
    }

    fn log_resumed(&self, broken_at: Instant, opened: &OpenStream) {
        let id = self.context.facts.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
        info!(self.gateway.log, "stream resumed"; "id" => id, "after" => self.events.last_id(),
            "endpoint" => %opened.view.id, "tried" => self.history.endpoints.len(),
            "expected_ms" => opened.assignment.expected.as_millis() as u64,
            "pause_ms" => (now() - broken_at).as_millis() as u64);
    }

    async fn abort(&mut self, reason: &str) {
        self.log_end("broken-off", reason);
        // Sending fails only if the caller disconnected, and then no one needs the error.
        let _ = self.sender.send(Err(ResponseAborted)).await;
    }

    fn log_end(&self, outcome: &'static str, reason: &str) {
        self.gateway.log_request(&self.context, outcome, reason, StatusCode::OK, &self.history);
    }
}
