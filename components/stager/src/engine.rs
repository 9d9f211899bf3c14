//! Requests to the endpoint on this VM.

use std::time::Duration;

use bytes::Bytes;
use catalog::{EngineReport, ModelId};
use http::{HeaderValue, Method, StatusCode, header::CONTENT_TYPE};
use platform::{
    DecodeError, REPORT_PATH, decode_report,
    weights::{
        ORDER_PATH, decode_staged_pieces, stage_piece_path, staged_piece_path, staged_pieces_path,
    },
};
use tokio::time::Instant;
use transport::{BufferedResponse, Connection, TransportError, request};

use crate::{
    shared::Stager,
    staged_check::{MAX_CHECK_AGE, SPOILT_ALLOWANCE, StagedCheck},
};

/// Maximum size of a response from the endpoint in bytes.
const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A request to the endpoint that failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EngineError {
    /// No response, or the connection failed.
    #[error("no response from the endpoint: {0}")]
    Transport(#[from] TransportError),
    /// The endpoint returned an error status.
    #[error("the endpoint returned status {0}")]
    Status(u16),
    /// The endpoint asked this VM to send nothing for now, and nothing was sent.
    #[error("the endpoint asked for no requests; they go on in {}ms", .0.as_millis())]
    BackingOff(Duration),
    /// The staged pieces were checked too long ago, and no order was sent.
    #[error("the staged pieces were checked {}ms ago", .0.as_millis())]
    CheckTooOld(Duration),
    /// The response could not be decoded.
    #[error("cannot decode the endpoint's response: {0}")]
    Decode(#[from] DecodeError),
}

/// How the endpoint answered a load order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LoadOrderOutcome {
    /// The endpoint started to load.
    Begun,
    /// The endpoint already serves the requested version.
    Done,
}

impl Stager {
    async fn engine_request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<BufferedResponse, EngineError> {
        let addr = self.endpoint.addr;
        self.check_backoff()?;
        let request = request(method, addr, path, body);
        let deadline = Instant::now() + timeout;
        let reply = self.pool.call(addr, request, MAX_RESPONSE_BYTES, deadline).await?;
        self.record_backoff(addr, reply.status, &reply.headers);
        Ok(reply)
    }

    /// Fails while the endpoint is to be sent nothing.
    fn check_backoff(&self) -> Result<(), EngineError> {
        match self.remaining_backoff(self.endpoint.addr) {
            Some(remaining) => Err(EngineError::BackingOff(remaining)),
            None => Ok(()),
        }
    }

    /// Sends an order once, on a connection of its own: an earlier answer that the endpoint writes once more
    /// on a kept connection would be taken for that of the order. Returns the status of the answer.
    async fn send_order(&self, body: Bytes, check: StagedCheck) -> Result<StatusCode, EngineError> {
        let addr = self.endpoint.addr;
        self.check_backoff()?;
        let mut request = request(Method::POST, addr, ORDER_PATH, body);
        request.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let mut connection = Connection::open(addr, self.pool.connect_settings()).await?;
        if !connection.ready().await {
            return Err(TransportError::Unsent.into());
        }
        // Nothing is awaited between this and the order, which may not be older than the check permits.
        let age = check.age();
        if age > MAX_CHECK_AGE {
            return Err(EngineError::CheckTooOld(age));
        }
        // An order that is accepted later loads what must be checked again.
        let time_left = self.settings.engine_timeout.min(SPOILT_ALLOWANCE - age);
        let response = connection.send(request, Instant::now() + time_left).await?.response;
        self.record_backoff(addr, response.status(), response.headers());
        Ok(response.status())
    }

    /// Queries the endpoint's state.
    pub(crate) async fn get_report(&self) -> Result<EngineReport, EngineError> {
        let timeout = self.settings.poll_timeout;
        let reply = self.engine_request(Method::GET, REPORT_PATH, Bytes::new(), timeout).await?;
        Ok(decode_report(&expect_ok(reply)?)?)
    }

    /// Uploads a piece to the endpoint's staging area.
    pub(crate) async fn put_piece(
        &self,
        model: &ModelId,
        piece: u32,
        body: Bytes,
    ) -> Result<(), EngineError> {
        let path = stage_piece_path(model, piece);
        let timeout = self.settings.engine_timeout;
        let reply = self.engine_request(Method::PUT, &path, body, timeout).await?;
        if reply.status.is_success() { Ok(()) } else { Err(status_error(&reply)) }
    }

    /// Reads a staged piece back from the endpoint; `None` if it is not there.
    pub(crate) async fn get_staged_piece(
        &self,
        model: &ModelId,
        piece: u32,
    ) -> Result<Option<Bytes>, EngineError> {
        let path = staged_piece_path(model, piece);
        let timeout = self.settings.engine_timeout;
        let reply = self.engine_request(Method::GET, &path, Bytes::new(), timeout).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => expect_ok(reply).map(Some),
        }
    }

    /// The indices of the pieces staged at the endpoint, which may belong to any version.
    pub(crate) async fn list_staged_pieces(
        &self,
        model: &ModelId,
    ) -> Result<Vec<u32>, EngineError> {
        let path = staged_pieces_path(model);
        let timeout = self.settings.engine_timeout;
        let reply = self.engine_request(Method::GET, &path, Bytes::new(), timeout).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(Vec::new()),
            _ => Ok(decode_staged_pieces(&expect_ok(reply)?)?),
        }
    }

    /// Orders the endpoint to load the staged weights, which `check` found right.
    pub(crate) async fn send_load_order(
        &self,
        order: Bytes,
        check: StagedCheck,
    ) -> Result<LoadOrderOutcome, EngineError> {
        match self.send_order(order, check).await? {
            StatusCode::ACCEPTED => Ok(LoadOrderOutcome::Begun),
            StatusCode::OK => Ok(LoadOrderOutcome::Done),
            other => Err(EngineError::Status(other.as_u16())),
        }
    }
}

fn expect_ok(reply: BufferedResponse) -> Result<Bytes, EngineError> {
    if reply.status == StatusCode::OK { Ok(reply.body) } else { Err(status_error(&reply)) }
}

fn status_error(reply: &BufferedResponse) -> EngineError {
    EngineError::Status(reply.status.as_u16())
}
