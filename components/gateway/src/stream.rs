//! Passes a stream of events on, and goes on at another endpoint if it breaks off.

use std::{rc::Rc, time::Instant};

use bytes::Bytes;
use dispatch::EndpointOutcome;
use http::{Response, StatusCode};
use http_body_util::BodyExt;
use platform::keep_alive;
use slog::info;
use tokio::{sync::mpsc, task::spawn_local, time::timeout_at};
use transport::Gone;

use crate::{
    attempt::{AttemptOptions, AttemptResult, LossCause, OpenStream},
    events::EventSplitter,
    request::RequestContext,
    response::{ResponseBody, response_with_head},
    serve::AttemptHistory,
    state::{Gateway, now},
};

/// Parts of a stream that wait for a slow caller.
const PARTS: usize = 16;

/// A stream on its way to its caller.
struct Relay {
    gateway: Rc<Gateway>,
    ask: Rc<RequestContext>,
    tries: AttemptHistory,
    events: EventSplitter,
    to: mpsc::Sender<Result<Bytes, Gone>>,
}

/// How the answer of one endpoint ended.
enum Ended {
    /// It is whole.
    Whole,
    /// It broke off.
    Broken(LossCause),
    /// The caller left.
    CallerGone,
    /// The deadline has passed.
    Late,
}

impl Gateway {
    /// The answer to a caller whose stream has begun.
    pub(crate) fn stream(
        self: &Rc<Gateway>,
        ask: Rc<RequestContext>,
        opened: OpenStream,
        tries: AttemptHistory,
    ) -> Response<ResponseBody> {
        let (to, parts) = mpsc::channel(PARTS);
        let response = response_with_head(
            opened.head.status,
            &opened.head.headers,
            ResponseBody::Stream(parts),
        );
        let events = EventSplitter::starting_after(ask.facts.last_event);
        let relay = Relay { gateway: self.clone(), ask, tries, events, to };
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
            let (ended, sent) = self.pass_on(opened).await;
            match ended {
                Ended::Whole => {
                    self.gateway.suspects.borrow_mut().record_answer(&self.ask.fingerprint);
                    self.note("answered", "");
                }
                Ended::CallerGone => self.note("caller-gone", ""),
                Ended::Late => self.break_off("timeout").await,
                Ended::Broken(loss) => {
                    let planned = self.gateway.dispatcher.borrow().is_loading(sent.endpoint, now());
                    if planned {
                        // The endpoint loads other weights; that tells nothing against anybody.
                        drop(sent);
                    } else {
                        self.gateway.handle_loss(&self.ask, sent, &view, loss);
                    }
                    next = self.resume().await;
                    if next.is_none() {
                        self.break_off(loss.name()).await;
                    }
                }
            }
        }
    }

    /// Passes on the answer of one endpoint until it ends.
    async fn pass_on(&mut self, mut opened: OpenStream) -> (Ended, crate::state::InFlightRequest) {
        let first = opened.first_events(&mut self.events);
        let ended = match self.give(first).await {
            false => Ended::CallerGone,
            true => self.pass_rest(&mut opened).await,
        };
        let OpenStream { in_flight: mut sent, connection, head, .. } = opened;
        if let Ended::Whole = ended {
            sent.set_end(EndpointOutcome::Answered);
            if self.ask.route.kind.is_retryable() {
                self.gateway.pool.keep(connection, keep_alive(&head.headers));
            }
        }
        (ended, sent)
    }

    async fn pass_rest(&mut self, opened: &mut OpenStream) -> Ended {
        let deadline = tokio::time::Instant::from_std(self.ask.deadline);
        let can_resume = self.may_resume();
        loop {
            let silent = tokio::time::Instant::now() + self.gateway.settings.stream_silence_timeout;
            let until = if can_resume { silent.min(deadline) } else { deadline };
            let frame = tokio::select! {
                biased;
                () = self.to.closed() => return Ended::CallerGone,
                frame = timeout_at(until, opened.body.frame()) => frame,
            };
            let data = match frame {
                Err(_) if until < deadline => return Ended::Broken(LossCause::TimedOut),
                Err(_) => return Ended::Late,
                Ok(Some(Err(_))) => return Ended::Broken(LossCause::Broken),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(None) => {
                    let rest = self.events.remainder();
                    return if self.give(rest).await { Ended::Whole } else { Ended::CallerGone };
                }
            };
            let whole = self.events.push(data);
            if !self.give(whole).await {
                return Ended::CallerGone;
            }
        }
    }

    /// Gives events to the caller; returns false if it left.
    async fn give(&mut self, events: Bytes) -> bool {
        events.is_empty() || self.to.send(Ok(events)).await.is_ok()
    }

    fn may_resume(&self) -> bool {
        self.ask.route.kind.is_retryable() && self.tries.sent_count < self.ask.route.max_attempts
    }

    /// Goes on with the stream at another endpoint.
    async fn resume(&mut self) -> Option<OpenStream> {
        let broke = now();
        while self.may_resume() && now() < self.ask.deadline {
            if !self.gateway.take_retry(&self.ask) {
                return None;
            }
            let job = self.ask.job(&self.tries.endpoints, true);
            let sent = tokio::select! {
                () = self.to.closed() => return None,
                sent = self.gateway.acquire(job) => sent.ok()?,
            };
            self.tries.endpoints.push(sent.endpoint);
            self.tries.sent_count += 1;
            let plan =
                AttemptOptions { is_last: !self.may_resume(), resume_after: self.events.last_id() };
            let tried = tokio::select! {
                () = self.to.closed() => return None,
                tried = self.gateway.attempt(&self.ask, sent, plan) => tried,
            };
            match tried {
                AttemptResult::Stream(opened) => {
                    self.events.resume();
                    self.note_resumed(broke, &opened);
                    return Some(*opened);
                }
                AttemptResult::Unsent => self.tries.sent_count -= 1,
                AttemptResult::Refused | AttemptResult::Failed(_) | AttemptResult::Lost(_) => {}
                // An answer that is no stream cannot go on with one.
                AttemptResult::Response(_) => return None,
            }
        }
        None
    }

    fn note_resumed(&self, broke: Instant, opened: &OpenStream) {
        let id = self.ask.facts.id.as_ref().map(|id| String::from_utf8_lossy(id).into_owned());
        info!(self.gateway.log, "stream resumed"; "id" => id, "after" => self.events.last_id(),
            "endpoint" => %opened.view.id, "tried" => self.tries.endpoints.len(),
            "expected_ms" => opened.in_flight.expected.as_millis() as u64,
            "pause_ms" => (now() - broke).as_millis() as u64);
    }

    async fn break_off(&mut self, reason: &str) {
        self.note("broken-off", reason);
        // If the caller left, nobody misses the error.
        let _ = self.to.send(Err(Gone)).await;
    }

    fn note(&self, outcome: &'static str, reason: &str) {
        self.gateway.log_request(&self.ask, outcome, reason, StatusCode::OK, &self.tries);
    }
}
