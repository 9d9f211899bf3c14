//! Complete responses, and the body type of all responses.

use std::fmt;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};

/// The body of a response.
pub(crate) type Body = BoxBody<Bytes, Broken>;

/// Error of a response that was aborted before it was complete.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off; ask again")
    }
}

impl std::error::Error for Broken {}

/// A complete response.
#[derive(Debug, Clone)]
pub struct Response {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl Response {
    /// Creates a response with status 200 and `body`.
    pub fn from_data(body: impl Into<Bytes>) -> Response {
        Response { status: StatusCode::OK, headers: Vec::new(), body: body.into() }
    }

    /// Creates a response with status 200 and a text body.
    pub fn from_string(text: impl Into<String>) -> Response {
        Response::from_data(text.into())
    }

    /// Sets the status. An invalid status code becomes 500.
    pub fn with_status_code(self, status: u16) -> Response {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Response { status, ..self }
    }

    /// Adds a header, unless its name or value is malformed.
    pub fn with_header(mut self, name: &str, value: &str) -> Response {
        self.headers.extend(header(name, value));
        self
    }

    pub(crate) fn build(self) -> http::Response<Body> {
        let body = Full::new(self.body).map_err(|never| match never {}).boxed();
        head(self.status, self.headers, body)
    }
}

pub(crate) fn header(name: &str, value: &str) -> Option<(HeaderName, HeaderValue)> {
    Some((name.parse().ok()?, value.parse().ok()?))
}

pub(crate) fn head(
    status: StatusCode,
    headers: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    body: Body,
) -> http::Response<Body> {
    let mut response = http::Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().extend(headers);
    response
}
