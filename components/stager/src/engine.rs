//! Calls to the endpoint beside this process.

use std::time::Duration;

use bytes::Bytes;
use catalog::{EngineReport, ModelId, WeightsVersion};
use http::{Method, StatusCode, header::CONTENT_TYPE};
use platform::{
    DecodeError, REPORT_PATH, decode_report,
    weights::{
        ORDER_PATH, Running, decode_staged, load_order, stage_path, staged_list_path, staged_path,
    },
};
use tokio::time::Instant;
use transport::{Reply, TransportError, request};

use crate::shared::Stager;

/// Most bytes of an answer of the endpoint.
const ANSWER_BYTES: usize = 4 << 20;

/// A call to the endpoint that failed.
#[derive(Debug, thiserror::Error)]
pub(crate) enum EngineError {
    /// It did not answer.
    #[error("the endpoint does not answer: {0}")]
    Transport(#[from] TransportError),
    /// It refused.
    #[error("the endpoint answers {0}")]
    Status(u16),
    /// Its answer cannot be used.
    #[error("the endpoint's answer cannot be used: {0}")]
    Decode(#[from] DecodeError),
}

/// What became of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ordered {
    /// It has begun.
    Begun,
    /// What it asks for is so already.
    Done,
}

impl Stager {
    async fn engine_call(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: Duration,
    ) -> Result<Reply, EngineError> {
        let mut request = request(method, self.own.addr, path, body);
        if path == ORDER_PATH {
            let json = http::HeaderValue::from_static("application/json");
            request.headers_mut().insert(CONTENT_TYPE, json);
        }
        let until = Instant::now() + limit;
        let reply = self.pool.call(self.own.addr, request, ANSWER_BYTES, until).await;
        Ok(reply?)
    }

    /// Asks the endpoint for its state.
    pub(crate) async fn ask_report(&self) -> Result<EngineReport, EngineError> {
        let limit = self.settings.report_timeout;
        let reply = self.engine_call(Method::GET, REPORT_PATH, Bytes::new(), limit).await?;
        Ok(decode_report(&expect_ok(reply)?)?)
    }

    /// Hands a piece to the endpoint.
    pub(crate) async fn stage(
        &self,
        model: &ModelId,
        piece: u32,
        body: Bytes,
    ) -> Result<(), EngineError> {
        let path = stage_path(model, piece);
        let limit = self.settings.engine_timeout;
        let reply = self.engine_call(Method::PUT, &path, body, limit).await?;
        if reply.status.is_success() { Ok(()) } else { Err(status(&reply)) }
    }

    /// A piece as it lies at the endpoint, if one does.
    pub(crate) async fn staged(
        &self,
        model: &ModelId,
        piece: u32,
    ) -> Result<Option<Bytes>, EngineError> {
        let path = staged_path(model, piece);
        let limit = self.settings.engine_timeout;
        let reply = self.engine_call(Method::GET, &path, Bytes::new(), limit).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(None),
            _ => expect_ok(reply).map(Some),
        }
    }

    /// The pieces that lie at the endpoint, of whatever version.
    pub(crate) async fn staged_list(&self, model: &ModelId) -> Result<Vec<u32>, EngineError> {
        let path = staged_list_path(model);
        let limit = self.settings.engine_timeout;
        let reply = self.engine_call(Method::GET, &path, Bytes::new(), limit).await?;
        match reply.status {
            StatusCode::NOT_FOUND => Ok(Vec::new()),
            _ => Ok(decode_staged(&expect_ok(reply)?)?),
        }
    }

    /// Orders the endpoint to load what lies there.
    pub(crate) async fn order_load(
        &self,
        model: &ModelId,
        version: WeightsVersion,
        running: Running,
        sequence: u64,
    ) -> Result<Ordered, EngineError> {
        let body = load_order(model, version, running, sequence).into();
        let limit = self.settings.engine_timeout;
        let reply = self.engine_call(Method::POST, ORDER_PATH, body, limit).await?;
        match reply.status {
            StatusCode::ACCEPTED => Ok(Ordered::Begun),
            StatusCode::OK => Ok(Ordered::Done),
            _ => Err(status(&reply)),
        }
    }
}

fn expect_ok(reply: Reply) -> Result<Bytes, EngineError> {
    if reply.status == StatusCode::OK { Ok(reply.body) } else { Err(status(&reply)) }
}

fn status(reply: &Reply) -> EngineError {
    EngineError::Status(reply.status.as_u16())
}
