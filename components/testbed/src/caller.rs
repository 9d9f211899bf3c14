//! A caller that sends requests to an entry and validates the responses.

use std::{io::Read, net::SocketAddr, time::Duration};

use anyhow::Context;
use proto::header;
use serde_json::{Value, json};
use standins::expected_completion;

use crate::CALLER_KEY;

/// Idle timeout of a caller's connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Result of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallResult {
    /// The complete response to this request, from one release.
    Whole {
        /// The release that responded; empty for a plain service.
        release: String,
    },
    /// An error response that states whether the request ran.
    Refused {
        /// HTTP status.
        status: u16,
        /// `not-run`, `run` or `unknown`.
        outcome: String,
    },
    /// A response that was cut off in a way that the caller can detect.
    Cut,
    /// An incorrect response: of another request, of mixed releases, truncated without an error, or
    /// none at all. Holds a description.
    Harmed(String),
}

/// A client that sends requests with one API key.
#[derive(Clone)]
pub struct Caller {
    client: ureq::Agent,
    key: String,
    deadline: Option<Duration>,
}

impl Default for Caller {
    fn default() -> Caller {
        Caller::new(CALLER_KEY)
    }
}

impl Caller {
    /// Creates a caller with the API key `key`.
    pub fn new(key: &str) -> Caller {
        Caller { client: net::pooled_client(IDLE_TIMEOUT), key: key.to_owned(), deadline: None }
    }

    /// Sets the deadline of each request.
    pub fn with_deadline(self, deadline: Duration) -> Caller {
        Caller { deadline: Some(deadline), ..self }
    }

    fn post(&self, url: String) -> ureq::RequestBuilder<ureq::typestate::WithBody> {
        let key = format!("Bearer {}", self.key);
        let request = self.client.post(url).header(header::AUTHORIZATION, key);
        match self.deadline {
            Some(deadline) => request.header(header::DEADLINE, deadline.as_millis().to_string()),
            None => request,
        }
    }

    /// Streams a chat completion and validates the response.
    pub fn chat(&self, entry: SocketAddr, prompt: &str, tokens: usize) -> CallResult {
        let body = json!({
            "model": "base", "stream": true, "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let url = format!("http://{entry}/assistant/v1/chat/completions");
        let sent = self.post(url).send_json(body);
        let response = match sent {
            Ok(response) => response,
            Err(err) => return CallResult::Harmed(format!("no answer: {err}")),
        };
        if response.status().as_u16() != 200 {
            return parse_error_response(&response);
        }
        let mut text = String::new();
        let read = response.into_body().into_reader().read_to_string(&mut text);
        validate_stream(&text, read.is_ok(), prompt, tokens)
    }

    /// Reserves an idempotency key for a service.
    ///
    /// # Errors
    ///
    /// If the request fails or the response contains no key.
    pub fn reserve_key(&self, entry: SocketAddr, service: &str) -> anyhow::Result<String> {
        let mut response = self
            .client
            .post(format!("http://{entry}/{service}/_keys"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key))
            .send_empty()?;
        let answer: Value = response.body_mut().read_json()?;
        let key = answer["key"].as_str().context("the response contains no idempotency key")?;
        Ok(key.to_owned())
    }

    /// Sends a call to the plain service `orders` and validates the response, which echoes the body.
    pub fn post_order(&self, entry: SocketAddr, key: Option<&str>, body: &str) -> CallResult {
        let mut request = self.post(format!("http://{entry}/orders/orders"));
        if let Some(key) = key {
            request = request.header(header::IDEMPOTENCY_KEY, key);
        }
        let mut response = match request.send(body) {
            Ok(response) => response,
            Err(err) => return CallResult::Harmed(format!("no answer: {err}")),
        };
        if response.status().as_u16() != 200 {
            return parse_error_response(&response);
        }
        match response.body_mut().read_to_string() {
            Ok(text) if text == body => CallResult::Whole { release: String::new() },
            Ok(text) => CallResult::Harmed(format!("foreign answer: {text}")),
            Err(_) => CallResult::Cut,
        }
    }
}

fn parse_error_response<T>(response: &ureq::http::Response<T>) -> CallResult {
    let outcome = response.headers().get(header::OUTCOME).and_then(|v| v.to_str().ok());
    let status = response.status().as_u16();
    match outcome {
        Some(outcome) => CallResult::Refused { status, outcome: outcome.to_owned() },
        None => CallResult::Harmed(format!("status {status} without an outcome")),
    }
}

fn validate_stream(text: &str, complete: bool, prompt: &str, tokens: usize) -> CallResult {
    let events: Vec<&str> = text.lines().filter_map(|line| line.strip_prefix("data: ")).collect();
    let done = events.last() == Some(&"[DONE]");
    if !done || !complete {
        let has_error = !complete || text.contains("event: error");
        return if has_error {
            CallResult::Cut
        } else {
            CallResult::Harmed("cut in silence".to_owned())
        };
    }
    let mut release = String::new();
    let mut content = String::new();
    for event in &events[..events.len() - 1] {
        let Ok(value) = serde_json::from_str::<Value>(event) else {
            return CallResult::Harmed(format!("malformed event: {event}"));
        };
        let model = value["model"].as_str().unwrap_or_default();
        if release.is_empty() {
            release = model.to_owned();
        }
        if release != model {
            return CallResult::Harmed(format!("mixed releases {release} and {model}"));
        }
        content.push_str(value["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
    }
    if content == expected_completion(&release, prompt, tokens) {
        CallResult::Whole { release }
    } else {
        CallResult::Harmed("not the answer to this request".to_owned())
    }
}
