//! Answers that are whole when they are sent, and the bodies of all answers.

use std::fmt;

use bytes::Bytes;
use http::{HeaderName, HeaderValue, StatusCode};
use http_body_util::{BodyExt, Full, combinators::BoxBody};

/// The body of an answer.
pub(crate) type Body = BoxBody<Bytes, Broken>;

/// An answer was broken off.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off; ask again")
    }
}

impl std::error::Error for Broken {}

/// An answer.
#[derive(Debug, Clone)]
pub struct Response {
    status: StatusCode,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

impl Response {
    /// Status 200 with `body`.
    pub fn from_data(body: impl Into<Bytes>) -> Response {
        Response { status: StatusCode::OK, headers: Vec::new(), body: body.into() }
    }

    /// Status 200 with a text.
    pub fn from_string(text: impl Into<String>) -> Response {
        Response::from_data(text.into())
    }

    /// The same with another status; one that is none becomes 500.
    pub fn with_status_code(self, status: u16) -> Response {
        let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Response { status, ..self }
    }

    /// The same with one more header, unless its name or value is malformed.
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
