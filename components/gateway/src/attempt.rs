//! One try to run a request at one endpoint.

use std::{net::IpAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use catalog::{RouteKind, WeightsVersion};
use dispatch::{EndpointOutcome, EndpointView};
use http::{Request, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use platform::{Answer, Identity, Outgoing, answer, answer_id, keep_alive, weights_version};
use transport::{Connection, Exchange, ReplyBody, TransportError};

use crate::{
    events::EventSplitter,
    request::RequestContext,
    state::{Gateway, InFlightRequest, now},
};

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Rank at an endpoint of a request that goes on with a stream; its caller waits within the answer.
const RESUMED_RANK: u8 = 1;

/// How a try ended.
pub(crate) enum AttemptResult {
    /// The endpoint was not reached.
    Unsent,
    /// The endpoint did not run it.
    Refused,
    /// The endpoint ran it, and it failed there.
    Failed(Response<Bytes>),
    /// The endpoint answered.
    Response(Response<Bytes>),
    /// The endpoint answers with a stream, whose first bytes have come.
    Stream(Box<OpenStream>),
    /// It may have run, and there is no answer to be had.
    Lost(LossCause),
}

/// Why a request that may have run has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The connection ended or carried something else.
    Broken,
    /// Nothing came in time.
    TimedOut,
    /// The answer cannot be passed on.
    Unusable,
}

impl LossCause {
    pub(crate) fn name(self) -> &'static str {
        match self {
            LossCause::Broken => "broken",
            LossCause::TimedOut => "silent",
            LossCause::Unusable => "unusable",
        }
    }
}

/// A stream that has begun.
pub(crate) struct OpenStream {
    pub(crate) in_flight: InFlightRequest,
    pub(crate) view: EndpointView,
    pub(crate) head: http::response::Parts,
    pub(crate) body: ReplyBody,
    pub(crate) connection: Connection,
    /// Bytes that came already.
    pub(crate) first_bytes: Option<Bytes>,
}

/// What a try needs besides the request.
pub(crate) struct AttemptOptions {
    /// Whether another endpoint may be tried after this one.
    pub(crate) is_last: bool,
    /// The event after which a stream goes on.
    pub(crate) resume_after: Option<u64>,
}

impl Gateway {
    /// Sends a request to an endpoint and waits for its answer, or the first bytes of it.
    pub(crate) async fn attempt(
        self: &Rc<Gateway>,
        ask: &RequestContext,
        mut sent: InFlightRequest,
        plan: AttemptOptions,
    ) -> AttemptResult {
        let view = self.dispatcher.borrow().endpoint(sent.endpoint, now());
        let Some(view) = view else { return AttemptResult::Unsent };
        let request = endpoint_request(ask, &view, &plan);
        let until = self.response_deadline(ask, &sent, &plan);
        let exchange = self.exchange(ask, &view, request, until).await;
        let exchange = match exchange {
            Ok(exchange) => exchange,
            Err(err) if err.is_unsent() => {
                sent.set_end(EndpointOutcome::Lost);
                slog::info!(self.log, "endpoint not reached"; "endpoint" => %view.id,
                    "addr" => %view.addr, "error" => %err);
                return AttemptResult::Unsent;
            }
            Err(err) => return self.handle_loss(ask, sent, &view, loss_cause(&err)),
        };
        let head = &exchange.response;
        if answer_id(head.headers(), ask.facts.id.as_ref()) == Identity::Other {
            return self.handle_loss(ask, sent, &view, LossCause::Unusable);
        }
        let status = head.status();
        match answer(status, head.headers()) {
            Answer::Refused | Answer::Misdirected => {
                sent.set_end(EndpointOutcome::Refused);
                AttemptResult::Refused
            }
            Answer::Unusable => self.handle_loss(ask, sent, &view, LossCause::Unusable),
            Answer::Success if is_stream(ask, &exchange) => {
                self.open_stream(ask, sent, view, exchange, until).await
            }
            Answer::Success => self.collect_response(ask, sent, view, exchange, true).await,
            Answer::Failure => self.collect_response(ask, sent, view, exchange, false).await,
        }
    }

    /// Until when the answer, or its first bytes, are waited for.
    fn response_deadline(
        &self,
        ask: &RequestContext,
        sent: &InFlightRequest,
        plan: &AttemptOptions,
    ) -> Instant {
        if plan.is_last || !ask.route.kind.is_retryable() {
            return ask.deadline;
        }
        let usual = sent.expected.max(ask.route.target_latency) + self.settings.response_slack;
        (now() + usual).min(ask.deadline)
    }

    async fn exchange(
        &self,
        ask: &RequestContext,
        view: &EndpointView,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Exchange, TransportError> {
        let until = tokio::time::Instant::from_std(until);
        let repeatable = ask.route.kind.is_retryable();
        // What may run only once goes on a connection that carries nothing else, so that no late
        // answer can be taken for its own.
        let idle = if repeatable { self.pool.take(view.addr) } else { None };
        let connection = match idle {
            Some(connection) => connection,
            None => Connection::open(view.addr, self.pool.connect_settings()).await?,
        };
        let used = connection.is_used();
        match connection.send(request.clone(), until).await {
            // The endpoint closed it before it read anything.
            Err(TransportError::Unsent) if used => {
                let connection = Connection::open(view.addr, self.pool.connect_settings()).await?;
                connection.send(request, until).await
            }
            result => result,
        }
    }

    async fn open_stream(
        self: &Rc<Gateway>,
        ask: &RequestContext,
        sent: InFlightRequest,
        view: EndpointView,
        exchange: Exchange,
        until: Instant,
    ) -> AttemptResult {
        self.record_version(&sent, &exchange.response);
        let (head, mut body) = exchange.response.into_parts();
        let connection = exchange.connection;
        let until = tokio::time::Instant::from_std(until);
        let first = loop {
            match tokio::time::timeout_at(until, body.frame()).await {
                Err(_) => return self.handle_loss(ask, sent, &view, LossCause::TimedOut),
                Ok(None) => break None,
                Ok(Some(Err(_))) => return self.handle_loss(ask, sent, &view, LossCause::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        break Some(data);
                    }
                }
            }
        };
        sent.mark_started();
        AttemptResult::Stream(Box::new(OpenStream {
            in_flight: sent,
            view,
            head,
            body,
            connection,
            first_bytes: first,
        }))
    }

    async fn collect_response(
        &self,
        ask: &RequestContext,
        mut sent: InFlightRequest,
        view: EndpointView,
        exchange: Exchange,
        success: bool,
    ) -> AttemptResult {
        self.record_version(&sent, &exchange.response);
        let stated = keep_alive(exchange.response.headers());
        let close = has_connection_close(&exchange);
        let until = tokio::time::Instant::from_std(ask.deadline);
        match exchange.whole(self.settings.max_response_bytes, until).await {
            Ok((response, connection)) => {
                if ask.route.kind.is_retryable() && !close {
                    self.pool.keep(connection, stated);
                }
                sent.set_end(if success {
                    EndpointOutcome::Answered
                } else {
                    EndpointOutcome::Failed
                });
                if success {
                    self.suspects.borrow_mut().record_answer(&ask.fingerprint);
                    AttemptResult::Response(response)
                } else {
                    AttemptResult::Failed(response)
                }
            }
            Err(err) => self.handle_loss(ask, sent, &view, loss_cause(&err)),
        }
    }

    fn record_version(&self, sent: &InFlightRequest, response: &Response<ReplyBody>) {
        if let Some(version) = weights_version(response.headers()) {
            let version = WeightsVersion(version);
            self.dispatcher.borrow_mut().record_version(sent.endpoint, version);
        }
    }

    /// Notes that a request may have run and has no answer.
    pub(crate) fn handle_loss(
        &self,
        ask: &RequestContext,
        mut sent: InFlightRequest,
        view: &EndpointView,
        loss: LossCause,
    ) -> AttemptResult {
        sent.set_end(EndpointOutcome::Lost);
        if loss != LossCause::TimedOut {
            self.record_suspicion(ask, view);
        }
        AttemptResult::Lost(loss)
    }

    /// Notes a request that was lost, here and at the other entries.
    pub(crate) fn record_suspicion(&self, ask: &RequestContext, view: &EndpointView) {
        let IpAddr::V4(vm) = view.addr.ip() else { return };
        let number = fastrand::u64(..);
        let suspicion = self.suspects.borrow_mut().record_loss(ask.fingerprint, vm, number, now());
        self.send_to_gateways(&peering::Message::Suspicions(vec![suspicion]));
        if self.suspects.borrow().is_refused(&ask.fingerprint) {
            self.log_refused_suspect(&ask.fingerprint);
        }
    }
}

fn endpoint_request(
    ask: &RequestContext,
    view: &EndpointView,
    plan: &AttemptOptions,
) -> Request<Full<Bytes>> {
    let out = Outgoing {
        endpoint: &view.id,
        deadline: ask.time_left(),
        workspace: ask.workspace.as_ref().map(|w| &w.name),
        rank: plan.resume_after.map(|_| RESUMED_RANK),
        version: view.version,
        last_event: plan.resume_after.or(ask.facts.last_event),
    };
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.path.clone().into();
    *request.headers_mut() = platform::outgoing(&ask.headers, &out);
    request
}

fn is_stream(ask: &RequestContext, exchange: &Exchange) -> bool {
    let kind = exchange.response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    matches!(ask.route.kind, RouteKind::Stream { .. })
        && kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn has_connection_close(exchange: &Exchange) -> bool {
    let value = exchange.response.headers().get(http::header::CONNECTION);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

fn loss_cause(err: &TransportError) -> LossCause {
    match err {
        TransportError::Timeout => LossCause::TimedOut,
        TransportError::TooLong(_) => LossCause::Unusable,
        _ => LossCause::Broken,
    }
}

impl OpenStream {
    /// Takes in the first bytes; returns the whole events among them.
    pub(crate) fn first_events(&mut self, events: &mut EventSplitter) -> Bytes {
        self.first_bytes.take().map(|first| events.push(first)).unwrap_or_default()
    }
}
