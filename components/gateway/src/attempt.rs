//! One attempt to run a request at one endpoint.

use std::{cell::Cell, net::IpAddr, rc::Rc, time::Duration};

use base::EVENT_STREAM;
use bytes::Bytes;
use catalog::{RouteKind, WeightsVersion};
use dispatch::{EndpointKey, EndpointOutcome, EndpointView};
use http::{HeaderMap, Request, Response, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use metrics::counter;
use platform::{
    EndpointHeaders, RequestIdMatch, ResponseClass, classify_response, keep_alive_timeout,
    match_request_id, request_limit, requested_backoff, weights_version,
};
use quarantine::PartKey;
use telemetry::names;
use transport::{BodyLimit, Connection, Exchange, Framing, ResponseBody, TransportError};

use crate::{
    request::RequestContext,
    state::{Assignment, Gateway, now},
    suspect_parts::ANSWERED_EVENTS,
};

/// Priority at the endpoint of a request that resumes a stream. Its caller is waiting in the middle of
/// a response.
const RESUMED_RANK: u8 = 1;

/// Result of an attempt.
pub(crate) enum AttemptOutcome {
    /// The endpoint could not be reached.
    Unsent,
    /// The endpoint did not run the request.
    Refused,
    /// The endpoint ran the request, which failed.
    Failed(Response<Bytes>),
    /// The endpoint returned a complete response.
    Response(Response<Bytes>),
    /// The endpoint responds with a stream, whose first bytes have arrived.
    Stream(Box<OpenStream>),
    /// The request may have run, but no response can be obtained.
    Lost(LossCause),
}

/// Why a request that may have run has no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LossCause {
    /// The connection closed or carried something other than the response.
    Broken,
    /// Nothing arrived in time.
    TimedOut,
    /// The response cannot be forwarded.
    Unusable,
    /// The request had not begun when its endpoint's weights were about to be too old.
    OldWeights,
}

impl LossCause {
    pub(crate) fn name(self) -> &'static str {
        match self {
            LossCause::Broken => "broken",
            LossCause::TimedOut => "silent",
            LossCause::Unusable => "unusable",
            LossCause::OldWeights => "old_weights",
        }
    }
}

/// Stream response whose first bytes have arrived.
pub(crate) struct OpenStream {
    pub(crate) assignment: Assignment,
    pub(crate) view: EndpointView,
    pub(crate) head: http::response::Parts,
    pub(crate) body: ResponseBody,
    pub(crate) connection: Connection,
    /// First bytes of the body, if it is not empty.
    pub(crate) first_bytes: Option<Bytes>,
}

/// Parameters of an attempt besides the request.
pub(crate) struct AttemptOptions {
    /// Id of the event after which a stream is to be resumed.
    pub(crate) resume_after: Option<u64>,
    /// Set once the head of a response that is not a stream has arrived.
    pub(crate) has_begun: Rc<Cell<bool>>,
}

impl Gateway {
    /// Sends a request to an endpoint and waits for the response, or for the first bytes of a stream,
    /// until the deadline of the request.
    pub(crate) async fn attempt(
        self: &Rc<Gateway>,
        context: &RequestContext,
        mut assignment: Assignment,
        options: AttemptOptions,
    ) -> AttemptOutcome {
        let view = self.dispatcher.borrow().endpoint(assignment.in_flight.endpoint, now());
        let Some(view) = view else { return AttemptOutcome::Unsent };
        let time_left = self.deadline(context).saturating_duration_since(now());
        let request = endpoint_request(context, &view, &options, time_left);
        let endpoint = assignment.in_flight.endpoint;
        let exchange = self.exchange(context, &view, endpoint, request).await;
        let (exchange, is_reused) = match exchange {
            Ok(exchange) => exchange,
            Err(err) if err.is_unsent() => {
                assignment.set_end(match self.is_withheld(context, endpoint) {
                    true => EndpointOutcome::Inconclusive,
                    false => EndpointOutcome::Lost,
                });
                slog::info!(self.log, "endpoint not reached"; "endpoint" => %view.id,
                    "addr" => %view.addr, "error" => %err);
                return AttemptOutcome::Unsent;
            }
            Err(err) => return self.handle_loss(context, assignment, &view, loss_cause(&err), 0),
        };
        let head = &exchange.response;
        let status = head.status();
        // Whichever request it answers, the endpoint asks this gateway.
        self.record_backoff(endpoint, &view, status, head.headers());
        if !is_attributable(context, head.headers(), is_reused) {
            return self.handle_loss(context, assignment, &view, LossCause::Unusable, 0);
        }
        let class = classify_response(status, head.headers());
        self.record_limit(&assignment, &view, class, head.headers());
        // The head of a stream may arrive before its request begins.
        options.has_begun.set(!is_stream(context, &exchange));
        match class {
            ResponseClass::Refused | ResponseClass::Misdirected => {
                assignment.set_end(EndpointOutcome::Refused);
                AttemptOutcome::Refused
            }
            ResponseClass::Unusable => {
                self.handle_loss(context, assignment, &view, LossCause::Unusable, 0)
            }
            ResponseClass::Success if is_stream(context, &exchange) => {
                self.open_stream(context, assignment, view, exchange).await
            }
            ResponseClass::Success => {
                self.collect_response(context, assignment, view, exchange, true).await
            }
            ResponseClass::Failure => {
                self.collect_response(context, assignment, view, exchange, false).await
            }
        }
    }

    /// Sends the request. Returns the response with whether its connection was used before.
    async fn exchange(
        &self,
        context: &RequestContext,
        view: &EndpointView,
        endpoint: EndpointKey,
        request: Request<Full<Bytes>>,
    ) -> Result<(Exchange, bool), TransportError> {
        let until = tokio::time::Instant::from_std(context.deadline);
        let retryable = context.route.kind.is_retryable();
        // A request that may run only once gets a connection of its own, so that a late response to
        // another request cannot be mistaken for its response.
        let idle = if retryable { self.pool.take_idle(view.addr) } else { None };
        let connection = match idle {
            Some(connection) => connection,
            None => self.open_connection(context, view, endpoint).await?,
        };
        let is_reused = connection.is_used();
        match connection.send(request.clone(), until).await {
            // The endpoint closed the idle connection before it read the request.
            Err(TransportError::Unsent) if is_reused => {
                let connection = self.open_connection(context, view, endpoint).await?;
                Ok((connection.send(request, until).await?, false))
            }
            result => Ok((result?, is_reused)),
        }
    }

    /// Opens a connection. Fails with `Unsent` if the endpoint may no longer be sent the request then.
    async fn open_connection(
        &self,
        context: &RequestContext,
        view: &EndpointView,
        endpoint: EndpointKey,
    ) -> Result<Connection, TransportError> {
        let connection = Connection::open(view.addr, self.pool.connect_settings()).await?;
        match self.is_withheld(context, endpoint) {
            true => Err(TransportError::Unsent),
            false => Ok(connection),
        }
    }

    fn is_withheld(&self, context: &RequestContext, endpoint: EndpointKey) -> bool {
        let homes = self.homes(context);
        self.dispatcher.borrow().is_withheld(endpoint, &homes, now())
    }

    async fn open_stream(
        self: &Rc<Gateway>,
        context: &RequestContext,
        assignment: Assignment,
        view: EndpointView,
        exchange: Exchange,
    ) -> AttemptOutcome {
        self.record_version(context, &assignment, &exchange.response);
        let (head, mut body) = exchange.response.into_parts();
        let connection = exchange.connection;
        let framing = Framing::of(&head.headers);
        let until = tokio::time::Instant::from_std(context.deadline);
        let first_bytes = loop {
            match tokio::time::timeout_at(until, body.frame()).await {
                Err(_) => {
                    return self.handle_loss(context, assignment, &view, LossCause::TimedOut, 0);
                }
                // Without a length or chunks, an empty stream is one that broke off.
                Ok(None) if framing == Framing::Connection => {
                    return self.handle_loss(context, assignment, &view, LossCause::Broken, 0);
                }
                Ok(None) => break None,
                Ok(Some(Err(_))) => {
                    return self.handle_loss(context, assignment, &view, LossCause::Broken, 0);
                }
                Ok(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        break Some(data);
                    }
                }
            }
        };
        assignment.mark_started();
        AttemptOutcome::Stream(Box::new(OpenStream {
            assignment,
            view,
            head,
            body,
            connection,
            first_bytes,
        }))
    }

    async fn collect_response(
        &self,
        context: &RequestContext,
        mut assignment: Assignment,
        view: EndpointView,
        exchange: Exchange,
        success: bool,
    ) -> AttemptOutcome {
        self.record_version(context, &assignment, &exchange.response);
        let idle_timeout = keep_alive_timeout(exchange.response.headers());
        let may_keep = may_keep_connection(context, exchange.response.headers())
            && !has_connection_close(&exchange);
        let until = BodyLimit::Until(tokio::time::Instant::from_std(context.deadline));
        let mut reservation = self.response_memory.reserve();
        let limit = self.response_limit();
        let reserve = async |bytes| reservation.grow(bytes, limit).await;
        let read = exchange.read_body_reserved(self.settings.max_response_bytes, until, reserve);
        match read.await {
            Ok((response, connection)) => {
                let response = response.map(|body| reservation.hold(body));
                if may_keep {
                    self.pool.put_back(connection, idle_timeout);
                }
                assignment.set_end(if success {
                    EndpointOutcome::Answered
                } else {
                    EndpointOutcome::Failed
                });
                if success {
                    self.suspects.borrow_mut().record_answer(&context.fingerprint);
                    self.record_answered_parts(context);
                    AttemptOutcome::Response(response)
                } else {
                    AttemptOutcome::Failed(response)
                }
            }
            // An endpoint may cut off a response that is not read.
            Err(_) if reservation.has_waited => {
                self.handle_loss(context, assignment, &view, LossCause::TimedOut, 0)
            }
            Err(err) => self.handle_loss(context, assignment, &view, loss_cause(&err), 0),
        }
    }

    fn record_version(
        &self,
        context: &RequestContext,
        assignment: &Assignment,
        response: &Response<ResponseBody>,
    ) {
        if let Some(version) = weights_version(response.headers()) {
            let version = WeightsVersion(version);
            self.dispatcher.borrow_mut().record_version(assignment.in_flight.endpoint, version);
            self.log_overdue_version(context, version);
        }
    }

    /// Records the limit that an endpoint names in an answer. Only the answer to a request that it ran
    /// tells that it names none any more.
    fn record_limit(
        &self,
        assignment: &Assignment,
        view: &EndpointView,
        class: ResponseClass,
        headers: &HeaderMap,
    ) {
        let limit = match request_limit(headers) {
            Ok(None) if class == ResponseClass::Refused => return,
            Ok(_) if matches!(class, ResponseClass::Misdirected | ResponseClass::Unusable) => {
                return;
            }
            Ok(limit) => limit,
            Err(err) => {
                slog::warn!(self.log, "limit of an endpoint is not readable";
                    "endpoint" => %view.id, "error" => %err);
                return;
            }
        };
        let endpoint = assignment.in_flight.endpoint;
        let sent_at = assignment.sent_at;
        if self.dispatcher.borrow_mut().record_limit(endpoint, limit, sent_at, now()) {
            slog::info!(self.log, "endpoint names a limit"; "endpoint" => %view.id,
                "limit" => limit.map(|limit| limit.to_string()));
        }
    }

    /// Records for how long an endpoint that turned a request away asks to be sent none.
    fn record_backoff(
        &self,
        endpoint: EndpointKey,
        view: &EndpointView,
        status: StatusCode,
        headers: &HeaderMap,
    ) {
        match requested_backoff(status, headers) {
            Ok(None) => {}
            Ok(Some(time)) => {
                self.dispatcher.borrow_mut().record_backoff(endpoint, time, now());
                slog::info!(self.log, "endpoint asks for no requests"; "endpoint" => %view.id,
                    "status" => status.as_u16(), "for_ms" => time.as_millis() as u64);
            }
            Err(err) => {
                slog::warn!(self.log, "retry-after of an endpoint is not readable";
                    "endpoint" => %view.id, "error" => %err);
            }
        }
    }

    /// Counts and logs a response from weights that should have been replaced by now.
    fn log_overdue_version(&self, context: &RequestContext, version: WeightsVersion) {
        let Some(model) = self.model_of(&context.service) else { return };
        let overdue = self.named_weights.borrow().overdue(&model, version, now());
        let Some((required, since)) = overdue else { return };
        counter!(names::OVERDUE_VERSIONS).increment(1);
        let id = context.facts.id.as_deref().map(String::from_utf8_lossy);
        slog::warn!(self.log, "response from old weights"; "id" => id.as_deref(),
            "version" => version.0, "required" => required.0,
            "overdue_ms" => since.as_millis() as u64);
    }

    /// Handles the loss of a request that may have run, after `event_count` events of the endpoint. A
    /// timeout does not make the request suspect.
    pub(crate) fn handle_loss(
        &self,
        context: &RequestContext,
        mut assignment: Assignment,
        view: &EndpointView,
        loss: LossCause,
        event_count: u64,
    ) -> AttemptOutcome {
        assignment.set_end(EndpointOutcome::Lost);
        if loss != LossCause::TimedOut {
            self.log_loss(context, view, loss, event_count);
            self.record_suspicion(context, view);
        }
        if loss == LossCause::Broken && event_count < ANSWERED_EVENTS {
            self.record_lost_parts(context);
        }
        AttemptOutcome::Lost(loss)
    }

    /// Records the parts of the prompt of a request whose endpoint may have crashed as it began to answer.
    fn record_lost_parts(&self, context: &RequestContext) {
        let mut suspects = self.suspect_parts.borrow_mut();
        let refused = suspects.record_loss(&context.fingerprint, &context.parts, now());
        drop(suspects);
        self.handle_refused_parts(refused);
    }

    /// Ends the requests in progress that have parts which are refused from now on.
    pub(crate) fn handle_refused_parts(&self, refused: impl IntoIterator<Item = PartKey>) {
        for part in refused {
            slog::warn!(self.log, "part of prompts is refused from now on, as it crashes endpoints";
                "part" => part.0);
            counter!(names::REFUSED_PARTS).increment(1);
            self.part_refused.notify_waiters();
        }
    }

    /// Records that an endpoint answers a request, at least its first events.
    pub(crate) fn record_answered_parts(&self, context: &RequestContext) {
        self.suspect_parts.borrow_mut().record_answer(&context.parts, now());
    }

    /// Logs what was lost at an endpoint, so that the losses of one crash can be compared.
    fn log_loss(
        &self,
        context: &RequestContext,
        view: &EndpointView,
        loss: LossCause,
        event_count: u64,
    ) {
        let id = context.facts.id.as_deref().map(String::from_utf8_lossy);
        let parts: Vec<_> =
            context.facts.prompt_parts.iter().map(|part| String::from_utf8_lossy(part)).collect();
        slog::info!(self.log, "request lost at an endpoint"; "id" => id.as_deref(),
            "endpoint" => %view.id, "cause" => loss.name(), "events" => event_count,
            "parts" => parts.join(","), "fingerprint" => context.fingerprint.short());
    }

    /// Records a lost request and reports it to the other gateways.
    pub(crate) fn record_suspicion(&self, context: &RequestContext, view: &EndpointView) {
        let IpAddr::V4(vm) = view.addr.ip() else { return };
        let number = fastrand::u64(..);
        self.suspects.borrow_mut().record_loss(context.fingerprint, vm, number, now());
        if self.suspects.borrow().is_refused(&context.fingerprint) {
            self.log_refused_suspect(&context.fingerprint);
        }
    }
}

fn endpoint_request(
    context: &RequestContext,
    view: &EndpointView,
    options: &AttemptOptions,
    time_left: Duration,
) -> Request<Full<Bytes>> {
    let out = EndpointHeaders {
        endpoint: &view.id,
        deadline: time_left,
        workspace: context.workspace.as_ref().map(|w| &w.name),
        priority: options.resume_after.map(|_| RESUMED_RANK),
        weights_version: view.version,
        last_event_id: options.resume_after.or(context.facts.last_event_id),
    };
    let mut request = Request::new(Full::new(context.body.clone()));
    *request.method_mut() = context.method.clone();
    *request.uri_mut() = context.path.clone().into();
    *request.headers_mut() = platform::build_endpoint_headers(&context.headers, &out);
    request
}

/// Whether a response is a stream of events. On a route of streams, one without a content type, length
/// and chunks is: only its events can tell whether it is complete.
fn is_stream(context: &RequestContext, exchange: &Exchange) -> bool {
    let headers = exchange.response.headers();
    let is_events = match headers.get(CONTENT_TYPE) {
        Some(value) => value.as_bytes().starts_with(EVENT_STREAM.as_bytes()),
        None => Framing::of(headers) == Framing::Connection,
    };
    matches!(context.route.kind, RouteKind::Stream { .. }) && is_events
}

/// Whether a response can only be that to the request. A response to another request may arrive on a
/// connection that was used before; one without an id is then nobody's.
fn is_attributable(context: &RequestContext, headers: &HeaderMap, is_reused: bool) -> bool {
    match match_request_id(headers, context.facts.id.as_ref()) {
        RequestIdMatch::Same => true,
        RequestIdMatch::Missing => !is_reused,
        RequestIdMatch::Other => false,
    }
}

/// Whether the connection of a complete response may be used again: only for requests that may be
/// repeated, and if the endpoint says whose responses it sends.
pub(crate) fn may_keep_connection(context: &RequestContext, headers: &HeaderMap) -> bool {
    let has_id = match_request_id(headers, context.facts.id.as_ref()) == RequestIdMatch::Same;
    has_id && context.route.kind.is_retryable()
}

fn has_connection_close(exchange: &Exchange) -> bool {
    let value = exchange.response.headers().get(http::header::CONNECTION);
    let value = value.and_then(|value| value.to_str().ok());
    value.is_some_and(|value| value.to_ascii_lowercase().contains("close"))
}

fn loss_cause(err: &TransportError) -> LossCause {
    match err {
        TransportError::Timeout | TransportError::Incomplete(_) => LossCause::TimedOut,
        TransportError::TooLarge(_) | TransportError::Invalid(_) => LossCause::Unusable,
        _ => LossCause::Broken,
    }
}
