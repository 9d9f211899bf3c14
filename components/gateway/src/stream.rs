//! Forwards a stream of events, and resumes it at another endpoint if it breaks off.

use std::{rc::Rc, sync::Arc, time::Instant};

use bytes::Bytes;
use dispatch::EndpointOutcome;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Frame;
use platform::keep_alive_timeout;
use slog::info;
use tokio::{sync::mpsc, task::spawn_local, time::sleep_until};
use transport::Framing;

use crate::{
    attempt::{AttemptOutcome, LossCause, OpenStream, may_keep_connection},
    events::EventSplitter,
    hedge::{Hedge, HedgeEvent},
    request::RequestContext,
    response::{ResponseBody, StreamPart, response_with_head},
    response_memory::ResponseMemory,
    serve::InFlightGuard,
    shutdown::ShutdownStage,
    state::{Gateway, now},
    suspect_parts::ANSWERED_EVENTS,
};

/// Forwards one stream to its caller.
struct Relay {
    gateway: Rc<Gateway>,
    context: Rc<RequestContext>,
    hedge: Hedge,
    events: EventSplitter,
    sender: mpsc::UnboundedSender<StreamPart>,
    /// What the caller has not read yet.
    unread: Arc<ResponseMemory>,
    /// Whether the endpoint was not read for so long, as the caller did not read, that it may have cut the
    /// stream off.
    held_back: bool,
    /// The stream of the endpoint that was last heard of, until it breaks off.
    source: Option<OpenStream>,
    /// Why the last stream broke off.
    loss: LossCause,
    /// When the last part of the stream arrived.
    heard_at: Instant,
}

/// What the relay waits for.
enum RelayEvent {
    /// The endpoint sent a part of its stream; `None` is the end of the stream.
    Frame(Option<Result<Frame<Bytes>, hyper::Error>>),
    /// Something happened to the attempts to resume the stream elsewhere.
    Hedge(HedgeEvent),
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    Late,
}

/// How the response to the caller ends.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The stream broke off.
    Broken,
    /// The caller disconnected.
    CallerGone,
    /// The deadline passed.
    Late,
    /// The process shuts down.
    Stopping,
}

impl Gateway {
    /// Returns the response to the caller and starts a task that forwards the stream.
    pub(crate) fn stream(
        self: &Rc<Gateway>,
        context: Rc<RequestContext>,
        opened: OpenStream,
        hedge: Hedge,
    ) -> Response<ResponseBody> {
        let (sender, parts) = mpsc::unbounded_channel();
        let response = response_with_head(
            opened.head.status,
            &opened.head.headers,
            ResponseBody::Stream(parts),
        );
        let events = EventSplitter::starting_after(context.facts.last_event_id);
        let mut relay = Relay {
            gateway: self.clone(),
            context,
            hedge,
            events,
            sender,
            unread: Arc::default(),
            held_back: false,
            source: None,
            loss: LossCause::Broken,
            heard_at: now(),
        };
        // Ends the other attempts at once.
        relay.hedge.record_stream(opened.assignment.in_flight, relay.events.last_id());
        let guard = InFlightGuard::new(self);
        spawn_local(async move {
            let _guard = guard;
            relay.run(opened).await;
        });
        response
    }
}

impl Relay {
    async fn run(mut self, opened: OpenStream) {
        let mut end = self.switch_source(opened).await;
        while end.is_none() {
            let event = self.next_event().await;
            end = self.handle(event).await;
        }
        match end {
            Some(StreamEnd::Complete) => {
                self.gateway.suspects.borrow_mut().record_answer(&self.context.fingerprint);
                self.gateway.record_answered_parts(&self.context);
                self.log_end("answered", "");
            }
            Some(StreamEnd::CallerGone) => self.log_end("caller-gone", ""),
            Some(StreamEnd::Late) => self.log_end("broken-off", "timeout"),
            Some(StreamEnd::Stopping) => self.log_end("broken-off", "stopping"),
            Some(StreamEnd::Broken) | None => self.log_end("broken-off", self.loss.name()),
        }
    }

    /// Waits for whatever comes first. An endpoint that is silent stays the source of the stream until
    /// another one has taken over.
    async fn next_event(&mut self) -> RelayEvent {
        let deadline = tokio::time::Instant::from_std(self.context.deadline);
        tokio::select! {
            biased;
            () = self.sender.closed() => RelayEvent::CallerGone,
            () = sleep_until(deadline) => RelayEvent::Late,
            frame = next_frame(&mut self.source) => RelayEvent::Frame(frame),
            event = self.hedge.next() => RelayEvent::Hedge(event),
        }
    }

    /// Handles an event. Returns how the response ends, if it does.
    async fn handle(&mut self, event: RelayEvent) -> Option<StreamEnd> {
        match event {
            RelayEvent::CallerGone => Some(StreamEnd::CallerGone),
            RelayEvent::Late => Some(StreamEnd::Late),
            RelayEvent::Frame(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => self.forward(data).await,
                Err(_) => None,
            },
            RelayEvent::Frame(Some(Err(_))) => self.handle_break(LossCause::Broken),
            RelayEvent::Frame(None) => self.handle_end(),
            RelayEvent::Hedge(event) => self.handle_hedge(event).await,
        }
    }

    /// Makes another endpoint the source of the stream and forwards its first events. The connection
    /// to the one before is closed.
    async fn switch_source(&mut self, mut opened: OpenStream) -> Option<StreamEnd> {
        let first = opened.first_bytes.take().unwrap_or_default();
        self.hedge.record_stream(opened.assignment.in_flight, self.events.last_id());
        self.source = Some(opened);
        self.forward(first).await
    }

    /// Forwards the complete events that end with `data`.
    async fn forward(&mut self, data: Bytes) -> Option<StreamEnd> {
        self.heard_at = now();
        let event_count = self.events.event_count();
        let whole = self.events.push(data);
        if !whole.is_empty()
            && let Some(end) = self.send_to_caller(whole).await
        {
            return Some(end);
        }
        if self.events.is_endless() {
            return self.handle_break(LossCause::Unusable);
        }
        // Bytes inside an event and comments do not bring the caller the next event.
        if self.events.event_count() > event_count {
            self.hedge.record_event(self.events.last_id());
        }
        if self.events.event_count() >= ANSWERED_EVENTS {
            self.gateway.record_answered_parts(&self.context);
        }
        None
    }

    /// Sends events to the caller, which may have to read earlier ones first. Returns how the response ends,
    /// if it does.
    async fn send_to_caller(&mut self, events: Bytes) -> Option<StreamEnd> {
        let deadline = tokio::time::Instant::from_std(self.context.deadline);
        let leave_at = tokio::time::Instant::now() + self.gateway.settings.max_held_back;
        self.held_back = false;
        while !self.has_room(events.len()) {
            tokio::select! {
                biased;
                () = self.sender.closed() => return Some(StreamEnd::CallerGone),
                () = self.unread.released.notified() => {}
                () = sleep_until(deadline) => return Some(StreamEnd::Late),
                () = self.gateway.reached(ShutdownStage::GivingUp) => {
                    return Some(StreamEnd::Stopping);
                }
                () = sleep_until(leave_at), if !self.held_back => self.hold_back(),
            }
        }
        let held = self.unread.hold(self.gateway.response_memory.hold(events));
        self.sender.send(StreamPart::Events(held)).is_err().then_some(StreamEnd::CallerGone)
    }

    /// Whether more of the stream may be held for the caller. A caller that has read everything always gets
    /// the next events.
    fn has_room(&self, bytes: usize) -> bool {
        let settings = &self.gateway.settings;
        let limit = match self.gateway.is_response_memory_full() {
            true => settings.min_stream_bytes,
            false => settings.max_stream_bytes,
        };
        let unread = self.unread.held();
        unread == 0 || unread + bytes <= limit
    }

    /// Records that the endpoint was not read for long. Leaves it, so that it need not hold the rest, if
    /// another endpoint can resume the stream once the caller reads on.
    fn hold_back(&mut self) {
        self.held_back = true;
        if self.hedge.may_ask_another() && self.source.take().is_some() {
            self.hedge.record_broken_stream();
            let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
            info!(self.gateway.log, "endpoint of a stream left, as its caller reads slowly";
                "id" => id.as_deref(), "after" => self.events.last_id());
        }
    }

    /// Handles the regular end of the endpoint's response. The stream broke off nevertheless if it ended
    /// inside an event, or before the first one with nothing but its connection.
    fn handle_end(&mut self) -> Option<StreamEnd> {
        self.log_source_end();
        let is_unframed = self.source_framing() == Some(Framing::Connection);
        if self.events.is_inside_event() || is_unframed && self.events.event_count() == 0 {
            return self.handle_break(LossCause::Broken);
        }
        self.release_source();
        // Fails only if the caller is gone.
        Some(match self.sender.send(StreamPart::End) {
            Ok(()) => StreamEnd::Complete,
            Err(_) => StreamEnd::CallerGone,
        })
    }

    fn source_framing(&self) -> Option<Framing> {
        self.source.as_ref().map(|source| Framing::of(&source.head.headers))
    }

    /// Ends the attempt at the endpoint that sent the complete stream.
    fn release_source(&mut self) {
        let Some(OpenStream { mut assignment, connection, head, .. }) = self.source.take() else {
            return;
        };
        assignment.set_end(EndpointOutcome::Answered);
        if may_keep_connection(&self.context, &head.headers) {
            self.gateway.pool.put_back(connection, keep_alive_timeout(&head.headers));
        }
    }

    /// Handles a stream that broke off at its endpoint, or whose endpoint is left.
    fn handle_break(&mut self, loss: LossCause) -> Option<StreamEnd> {
        let OpenStream { assignment, view, .. } = self.source.take()?;
        self.loss = loss;
        self.hedge.record_broken_stream();
        let endpoint = assignment.in_flight.endpoint;
        let is_loading = self.gateway.dispatcher.borrow().is_loading(endpoint, now());
        // An endpoint aborts streams to load other weights, or whose caller does not read. Neither the request
        // nor the endpoint is at fault then.
        if !is_loading && !self.held_back {
            let events = self.events.event_count();
            self.gateway.handle_loss(&self.context, assignment, &view, loss, events);
        }
        match self.context.route.kind.is_retryable() {
            true => None,
            false => Some(StreamEnd::Broken),
        }
    }

    async fn handle_hedge(&mut self, event: HedgeEvent) -> Option<StreamEnd> {
        match event {
            HedgeEvent::Ended(AttemptOutcome::Stream(opened)) => {
                self.events.resume();
                self.log_resumed(&opened);
                return self.switch_source(*opened).await;
            }
            // A response that is not a stream cannot continue one.
            HedgeEvent::Ended(AttemptOutcome::Response(_)) => self.log_not_resumed("no_stream"),
            HedgeEvent::Ended(
                AttemptOutcome::Unsent
                | AttemptOutcome::Refused
                | AttemptOutcome::Failed(_)
                | AttemptOutcome::Lost(_),
            ) => {}
            HedgeEvent::Denied { reason, .. } => {
                self.log_not_resumed(reason);
                if !self.hedge.is_in_progress() {
                    return Some(StreamEnd::Broken);
                }
            }
            HedgeEvent::Suspect => {
                self.log_not_resumed("suspect");
                return Some(StreamEnd::Broken);
            }
            HedgeEvent::Stopping => return Some(StreamEnd::Stopping),
            HedgeEvent::Exhausted => {
                self.log_not_resumed("attempts");
                return Some(StreamEnd::Broken);
            }
        }
        None
    }

    /// Logs how the endpoint ended its stream, if its framing or its last event leaves that open.
    fn log_source_end(&self) {
        let Some(source) = &self.source else { return };
        let framing = Framing::of(&source.head.headers);
        let rest = self.events.partial_len();
        if rest == 0 && framing != Framing::Connection {
            return;
        }
        let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
        info!(self.gateway.log, "endpoint ended its stream"; "id" => id.as_deref(),
            "endpoint" => %source.view.id, "framing" => framing.name(),
            "after" => self.events.last_id(), "rest_bytes" => rest);
    }

    fn log_not_resumed(&self, reason: &str) {
        let id = self.context.facts.id.as_deref().map(String::from_utf8_lossy);
        info!(self.gateway.log, "stream not resumed"; "id" => id.as_deref(), "reason" => reason,
            "after" => self.events.last_id(), "tried" => self.hedge.history.endpoints.len());
    }

    fn log_resumed(&self, opened: &OpenStream) {
        let id = self.context.facts.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
        info!(self.gateway.log, "stream resumed"; "id" => id, "after" => self.events.last_id(),
            "endpoint" => %opened.view.id, "tried" => self.hedge.history.endpoints.len(),
            "expected_ms" => opened.assignment.expected.as_millis() as u64,
            "pause_ms" => (now() - self.heard_at).as_millis() as u64);
    }

    fn log_end(&self, outcome: &'static str, reason: &str) {
        self.gateway.log_request(
            &self.context,
            outcome,
            reason,
            StatusCode::OK,
            &self.hedge.history,
        );
    }
}

/// Waits for the next part of a stream, if there is one.
async fn next_frame(source: &mut Option<OpenStream>) -> Option<Result<Frame<Bytes>, hyper::Error>> {
    match source {
        Some(source) => source.body.frame().await,
        None => std::future::pending().await,
    }
}
