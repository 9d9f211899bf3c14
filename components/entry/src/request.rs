//! Parses requests of callers.

use std::time::{Duration, Instant};

use base::{Digest, IdempotencyKey, ServiceId};
use net::{Request, header, read_body};
use proto::header as name;
use settings::EntrySettings;

use crate::{
    attempt::Call,
    event::{Binding, Refusal, RequestContext},
    refusal::invalid_request,
};

/// Longest deadline that a caller may set.
const MAX_DEADLINE: Duration = Duration::from_secs(300);
/// Path, below a service's prefix, at which callers reserve idempotency keys.
const RESERVE_PATH: &str = "/_keys";

/// A parsed request.
pub(crate) enum ParsedRequest {
    /// A call to a service.
    Call(Call),
    /// A request for a reserved key, which is bound to one endpoint.
    ReserveKey(RequestContext),
}

/// Parses a request whose URL is `url`.
pub(crate) fn parse(
    settings: &EntrySettings,
    request: &mut Request,
    url: &str,
) -> Result<ParsedRequest, Refusal> {
    let (service, path) = split(url)?;
    let key = header(request, name::AUTHORIZATION).and_then(|v| v.strip_prefix("Bearer "));
    let key =
        key.ok_or_else(|| invalid_request(401, "the key is missing; send Authorization: Bearer"))?;
    let key = Digest::of(key.as_bytes());
    let deadline = deadline(settings, request)?;
    let binding = binding(request)?;
    let forwarded = [name::CONTENT_TYPE, name::IDEMPOTENCY_KEY];
    let mut headers: Vec<(&'static str, String)> = forwarded
        .into_iter()
        .filter_map(|key| Some((key, header(request, key)?.to_owned())))
        .collect();
    headers.push((name::REQUEST_ID, format!("{:032x}", fastrand::u128(..))));
    let method = request.method().to_string();
    let body = read_body(request, settings.body).ok_or_else(|| {
        let limit = settings.body;
        invalid_request(
            413,
            &format!("the body is cut, too slow or larger than {limit}; send less"),
        )
    })?;
    let fingerprint = fingerprint(&service, &method, &path, &body);
    let wants_key = path == RESERVE_PATH;
    if wants_key && method != "POST" {
        return Err(invalid_request(405, "keys are reserved by POST"));
    }
    let context = RequestContext {
        key,
        service,
        method,
        path,
        fingerprint,
        binding: if wants_key { None } else { binding },
        release: None,
        tried: Vec::new(),
        deadline,
    };
    Ok(if wants_key {
        ParsedRequest::ReserveKey(context)
    } else {
        ParsedRequest::Call(Call { context, headers, body })
    })
}

fn split(url: &str) -> Result<(ServiceId, String), Refusal> {
    let no_service =
        || invalid_request(404, "the path names no service; use /SERVICE/PATH with its id");
    let (service, path) = url.trim_start_matches('/').split_once('/').ok_or_else(no_service)?;
    let service = service.parse().map_err(|_| no_service())?;
    Ok((service, format!("/{path}")))
}

fn deadline(settings: &EntrySettings, request: &Request) -> Result<Instant, Refusal> {
    let wait = match header(request, name::DEADLINE) {
        None => settings.deadline.0,
        Some(text) => {
            let millis = text.parse();
            let millis = millis
                .map_err(|_| invalid_request(400, "x-deadline-ms is not a number; mend it"))?;
            Duration::from_millis(millis)
        }
    };
    Ok(Instant::now() + wait.min(MAX_DEADLINE))
}

fn binding(request: &Request) -> Result<Option<Binding>, Refusal> {
    let Some(text) = header(request, name::IDEMPOTENCY_KEY) else { return Ok(None) };
    if let Ok(reservation) = text.parse() {
        return Ok(Some(Binding::Reserved(reservation)));
    }
    let key: IdempotencyKey =
        text.parse().map_err(|err| invalid_request(400, &format!("Idempotency-Key: {err}")))?;
    Ok(Some(Binding::CallerKey(key)))
}

fn fingerprint(service: &ServiceId, method: &str, path: &str, body: &[u8]) -> Digest {
    let body = Digest::of(body);
    Digest::of(format!("{service} {method} {path} {body}").as_bytes())
}
