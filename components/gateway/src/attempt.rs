//! One try to run a request at one endpoint.

use std::{net::IpAddr, rc::Rc, time::Instant};

use bytes::Bytes;
use catalog::{Kind, WeightsVersion};
use dispatch::{End, EndpointView};
use http::{Request, Response, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use platform::{Answer, Identity, Outgoing, answer, answer_id, keep_alive, weights_version};
use transport::{Connection, Exchange, ReplyBody, TransportError};

use crate::{
    ask::Ask,
    events::Events,
    shared::{Gateway, Sent, now},
};

/// Content type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";
/// Rank at an endpoint of a request that goes on with a stream; its caller waits within the answer.
const RESUMED_RANK: u8 = 1;

/// How a try ended.
pub(crate) enum Tried {
    /// The endpoint was not reached.
    Unsent,
    /// The endpoint did not run it.
    Refused,
    /// The endpoint ran it, and it failed there.
    Failed(Response<Bytes>),
    /// The endpoint answered.
    Whole(Response<Bytes>),
    /// The endpoint answers with a stream, whose first bytes have come.
    Stream(Box<Opened>),
    /// It may have run, and there is no answer to be had.
    Lost(Loss),
}

/// Why a request that may have run has no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Loss {
    /// The connection ended or carried something else.
    Broken,
    /// Nothing came in time.
    Silent,
    /// The answer cannot be passed on.
    Unusable,
}

impl Loss {
    pub(crate) fn name(self) -> &'static str {
        match self {
            Loss::Broken => "broken",
            Loss::Silent => "silent",
            Loss::Unusable => "unusable",
        }
    }
}

/// A stream that has begun.
pub(crate) struct Opened {
    pub(crate) sent: Sent,
    pub(crate) view: EndpointView,
    pub(crate) head: http::response::Parts,
    pub(crate) body: ReplyBody,
    pub(crate) connection: Connection,
    /// Bytes that came already.
    pub(crate) first: Option<Bytes>,
}

/// What a try needs besides the request.
pub(crate) struct Plan {
    /// Whether another endpoint may be tried after this one.
    pub(crate) last: bool,
    /// The event after which a stream goes on.
    pub(crate) after: Option<u64>,
}

impl Gateway {
    /// Sends a request to an endpoint and waits for its answer, or the first bytes of it.
    pub(crate) async fn attempt(
        self: &Rc<Gateway>,
        ask: &Ask,
        mut sent: Sent,
        plan: Plan,
    ) -> Tried {
        let view = self.dispatcher.borrow().endpoint(sent.endpoint, now());
        let Some(view) = view else { return Tried::Unsent };
        let request = outgoing(ask, &view, &plan);
        let until = self.patience(ask, &sent, &plan);
        let exchange = self.exchange(ask, &view, request, until).await;
        let exchange = match exchange {
            Ok(exchange) => exchange,
            Err(err) if err.is_unsent() => {
                sent.end(End::Lost);
                slog::info!(self.log, "endpoint not reached"; "endpoint" => %view.id,
                    "addr" => %view.addr, "error" => %err);
                return Tried::Unsent;
            }
            Err(err) => return self.lost(ask, sent, &view, loss(&err)),
        };
        let head = &exchange.response;
        if answer_id(head.headers(), ask.facts.id.as_ref()) == Identity::Other {
            return self.lost(ask, sent, &view, Loss::Unusable);
        }
        let status = head.status();
        match answer(status, head.headers()) {
            Answer::Refused | Answer::Misdirected => {
                sent.end(End::Refused);
                Tried::Refused
            }
            Answer::Unusable => self.lost(ask, sent, &view, Loss::Unusable),
            Answer::Success if is_stream(ask, &exchange) => {
                self.open(ask, sent, view, exchange, until).await
            }
            Answer::Success => self.collect(ask, sent, view, exchange, true).await,
            Answer::Failure => self.collect(ask, sent, view, exchange, false).await,
        }
    }

    /// Until when the answer, or its first bytes, are waited for.
    fn patience(&self, ask: &Ask, sent: &Sent, plan: &Plan) -> Instant {
        if plan.last || !ask.route.kind.repeatable() {
            return ask.deadline;
        }
        let usual = sent.expected.max(ask.route.objective) + self.settings.patience;
        (now() + usual).min(ask.deadline)
    }

    async fn exchange(
        &self,
        ask: &Ask,
        view: &EndpointView,
        request: Request<Full<Bytes>>,
        until: Instant,
    ) -> Result<Exchange, TransportError> {
        let until = tokio::time::Instant::from_std(until);
        let repeatable = ask.route.kind.repeatable();
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

    async fn open(
        self: &Rc<Gateway>,
        ask: &Ask,
        sent: Sent,
        view: EndpointView,
        exchange: Exchange,
        until: Instant,
    ) -> Tried {
        self.note_version(&sent, &exchange.response);
        let (head, mut body) = exchange.response.into_parts();
        let connection = exchange.connection;
        let until = tokio::time::Instant::from_std(until);
        let first = loop {
            match tokio::time::timeout_at(until, body.frame()).await {
                Err(_) => return self.lost(ask, sent, &view, Loss::Silent),
                Ok(None) => break None,
                Ok(Some(Err(_))) => return self.lost(ask, sent, &view, Loss::Broken),
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        break Some(data);
                    }
                }
            }
        };
        sent.started();
        Tried::Stream(Box::new(Opened { sent, view, head, body, connection, first }))
    }

    async fn collect(
        &self,
        ask: &Ask,
        mut sent: Sent,
        view: EndpointView,
        exchange: Exchange,
        success: bool,
    ) -> Tried {
        self.note_version(&sent, &exchange.response);
        let stated = keep_alive(exchange.response.headers());
        let close = says_close(&exchange);
        let until = tokio::time::Instant::from_std(ask.deadline);
        match exchange.whole(self.settings.answer_bytes, until).await {
            Ok((response, connection)) => {
                if ask.route.kind.repeatable() && !close {
                    self.pool.keep(connection, stated);
                }
                sent.end(if success { End::Answered } else { End::Failed });
                if success {
                    self.suspects.borrow_mut().answered(&ask.fingerprint);
                    Tried::Whole(response)
                } else {
                    Tried::Failed(response)
                }
            }
            Err(err) => self.lost(ask, sent, &view, loss(&err)),
        }
    }

    fn note_version(&self, sent: &Sent, response: &Response<ReplyBody>) {
        if let Some(version) = weights_version(response.headers()) {
            let version = WeightsVersion(version);
            self.dispatcher.borrow_mut().saw_version(sent.endpoint, version);
        }
    }

    /// Notes that a request may have run and has no answer.
    pub(crate) fn lost(&self, ask: &Ask, mut sent: Sent, view: &EndpointView, loss: Loss) -> Tried {
        sent.end(End::Lost);
        if loss != Loss::Silent {
            self.suspect(ask, view);
        }
        Tried::Lost(loss)
    }

    /// Notes a request that was lost, here and at the other entries.
    pub(crate) fn suspect(&self, ask: &Ask, view: &EndpointView) {
        let IpAddr::V4(vm) = view.addr.ip() else { return };
        let number = fastrand::u64(..);
        let suspicion = self.suspects.borrow_mut().lost(ask.fingerprint, vm, number, now());
        self.tell_entries(&peering::Message::Suspicions(vec![suspicion]));
        if self.suspects.borrow().refuses(&ask.fingerprint) {
            self.note_suspect(&ask.fingerprint);
        }
    }
}

fn outgoing(ask: &Ask, view: &EndpointView, plan: &Plan) -> Request<Full<Bytes>> {
    let out = Outgoing {
        endpoint: &view.id,
        deadline: ask.left(),
        workspace: ask.workspace.as_ref().map(|w| &w.name),
        rank: plan.after.map(|_| RESUMED_RANK),
        version: view.version,
        last_event: plan.after.or(ask.facts.last_event),
    };
    let mut request = Request::new(Full::new(ask.body.clone()));
    *request.method_mut() = ask.method.clone();
    *request.uri_mut() = ask.path.clone().into();
    *request.headers_mut() = platform::outgoing(&ask.headers, &out);
    request
}

fn is_stream(ask: &Ask, exchange: &Exchange) -> bool {
    let kind = exchange.response.headers().get(CONTENT_TYPE).and_then(|v| v.to_str().ok());
    matches!(ask.route.kind, Kind::Stream { .. })
        && kind.is_some_and(|kind| kind.starts_with(EVENT_STREAM))
}

fn says_close(exchange: &Exchange) -> bool {
    let value = exchange.response.headers().get(http::header::CONNECTION);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

fn loss(err: &TransportError) -> Loss {
    match err {
        TransportError::Timeout => Loss::Silent,
        TransportError::TooLong(_) => Loss::Unusable,
        _ => Loss::Broken,
    }
}

impl Opened {
    /// Takes in the first bytes; returns the whole events among them.
    pub(crate) fn first_events(&mut self, events: &mut Events) -> Bytes {
        self.first.take().map(|first| events.push(first)).unwrap_or_default()
    }
}
