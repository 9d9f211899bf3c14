//! Responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderMap, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use transport::ResponseAborted;

/// Body of a response to a caller.
#[derive(Debug)]
pub(crate) enum ResponseBody {
    /// Complete body, sent in one frame.
    Full(Option<Bytes>),
    /// Body that arrives in parts. It is complete only after `StreamPart::End`; if the sender is gone
    /// before, the response is aborted.
    Stream(mpsc::UnboundedReceiver<StreamPart>),
    /// The end of an aborted body. The connection writes out earlier parts before it polls this.
    Aborted,
}

/// A part of a body that arrives in parts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum StreamPart {
    /// Complete events.
    Events(Bytes),
    /// The end of the complete body.
    End,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        let body = self.get_mut();
        match body {
            ResponseBody::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            ResponseBody::Stream(parts) => match ready!(parts.poll_recv(cx)) {
                Some(StreamPart::Events(events)) => Poll::Ready(Some(Ok(Frame::data(events)))),
                Some(StreamPart::End) => Poll::Ready(None),
                // Hyper drops what it has not written when a body fails, and writes when one is pending.
                None => {
                    *body = ResponseBody::Aborted;
                    cx.waker().wake_by_ref();
                    Poll::Pending
                }
            },
            ResponseBody::Aborted => Poll::Ready(Some(Err(ResponseAborted))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, ResponseBody::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Full(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |body| body.len() as u64))
            }
            ResponseBody::Stream(_) | ResponseBody::Aborted => SizeHint::default(),
        }
    }
}

/// Creates a response of the gateway itself, without a body.
pub(crate) fn own_response(
    status: StatusCode,
    id: Option<&Bytes>,
    retry_after: Option<Duration>,
) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Full(None));
    *response.status_mut() = status;
    *response.headers_mut() = platform::local_response_headers(id, retry_after);
    response
}

/// Forwards a complete response of an endpoint.
pub(crate) fn forwarded_response(response: Response<Bytes>) -> Response<ResponseBody> {
    let (head, body) = response.into_parts();
    let body = Some(body).filter(|body| !body.is_empty());
    response_with_head(head.status, &head.headers, ResponseBody::Full(body))
}

/// Creates a response with the status and forwardable headers of an endpoint's response.
pub(crate) fn response_with_head(
    status: StatusCode,
    headers: &HeaderMap,
    body: ResponseBody,
) -> Response<ResponseBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = platform::forwarded_headers(headers);
    response
}

#[cfg(test)]
mod tests;
