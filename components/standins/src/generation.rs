//! Generation of completions by the fake engine.

use std::{io::Write, sync::Arc};

use base::EVENT_STREAM;
use net::{Request, StreamWriter, header, query_param, read_body, respond_with_error};
use serde_json::{Value, json};

use crate::{
    answers::token,
    engine::{CRASH_MARKER, Completion, MAX_BODY_SIZE, Shared, respond_json},
};

/// A completion to generate.
struct GenerationRequest {
    /// Id of the attempt, under which the completion can be resumed or cancelled.
    id: String,
    /// Id that the caller gets in the response body.
    response_id: String,
    release: String,
    prompt: String,
    tokens: usize,
    stream: bool,
    priority: u8,
}

impl Shared {
    pub(crate) fn start_completion(self: &Arc<Shared>, mut request: Request) {
        let body = read_body(&mut request, MAX_BODY_SIZE).unwrap_or_default();
        let call: Value = serde_json::from_slice(&body).unwrap_or_default();
        let messages = call["messages"].as_array().cloned().unwrap_or_default();
        let prompt = messages.last().and_then(|m| m["content"].as_str()).unwrap_or_default();
        let tokens = call["max_tokens"].as_u64().unwrap_or(16) as usize;
        let id = header(&request, proto::header::ATTEMPT).unwrap_or("none").to_owned();
        let response_id = header(&request, proto::header::REQUEST_ID).unwrap_or(&id).to_owned();
        let stream = call["stream"].as_bool().unwrap_or(false);
        let priority = header(&request, proto::header::PRIORITY).and_then(|v| v.parse().ok());
        let (release, epoch) = {
            let mut state = self.lock();
            let Some(release) = state.serving.clone() else {
                drop(state);
                respond_with_error(request, 409, "no release is served", "not-run");
                return;
            };
            *state.counts.runs.entry(id.clone()).or_default() += 1;
            let completion =
                Completion { release: release.clone(), stream, ..Completion::default() };
            state.completions.insert(id.clone(), completion);
            (release, state.epoch)
        };
        if prompt.contains(CRASH_MARKER) {
            self.crash();
            request.abort();
            return;
        }
        let engine = self.clone();
        let generation = GenerationRequest {
            id: id.clone(),
            response_id,
            release,
            prompt: prompt.to_owned(),
            tokens,
            stream,
            priority: priority.unwrap_or(u8::MAX),
        };
        std::thread::spawn(move || engine.generate(&generation, epoch));
        self.send_completion(request, &id, 0);
    }

    fn generate(&self, request: &GenerationRequest, epoch: u64) {
        let GenerationRequest { id, response_id, release, prompt, tokens, stream, priority } =
            request;
        if !self.take_slot(*priority, epoch) {
            return;
        }
        let mut text = String::new();
        for n in 0..*tokens {
            std::thread::sleep(self.settings.token_time);
            let token = token(release, prompt, n);
            let piece =
                if *stream { chunk_event(response_id, release, &token) } else { String::new() };
            text.push_str(&token);
            if !self.append(id, piece.as_bytes(), epoch) {
                return;
            }
        }
        let final_part = if *stream {
            "data: [DONE]\n\n".to_owned()
        } else {
            completion_body(response_id, release, &text)
        };
        let mut state = self.lock();
        if state.epoch != epoch {
            return;
        }
        state.slots.busy -= 1;
        if let Some(completion) = state.completions.get_mut(id) {
            completion.bytes.extend_from_slice(final_part.as_bytes());
            completion.done = true;
        }
        self.changed.notify_all();
    }

    fn take_slot(&self, priority: u8, epoch: u64) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        let ticket = state.slots.enqueue(priority);
        while state.epoch == epoch && !state.slots.try_take(ticket, self.settings.slots) {
            state = self.changed.wait(state).expect("no holder panics");
        }
        // Another slot may be free for the next waiting request.
        self.changed.notify_all();
        state.epoch == epoch
    }

    /// Appends to a completion; returns whether the generation goes on.
    fn append(&self, id: &str, piece: &[u8], epoch: u64) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        let Some(completion) = state.completions.get_mut(id).filter(|a| !a.cancelled) else {
            state.slots.busy -= 1;
            self.changed.notify_all();
            return false;
        };
        completion.bytes.extend_from_slice(piece);
        self.changed.notify_all();
        true
    }

    pub(crate) fn resume(&self, request: Request, id: &str, url: &str) {
        let offset = query_param(url, "offset").and_then(|v| v.parse().ok()).unwrap_or(0);
        if self.lock().completions.contains_key(id) {
            self.send_completion(request, id, offset);
        } else {
            respond_with_error(request, 404, "no such answer", "unknown");
        }
    }

    pub(crate) fn cancel(&self, request: Request, path: &str) {
        let id = path.strip_prefix("/v1/answers/").unwrap_or_default();
        let mut state = self.lock();
        if let Some(completion) = state.completions.get_mut(id).filter(|a| !a.cancelled && !a.done)
        {
            completion.cancelled = true;
            state.counts.cancelled += 1;
        }
        drop(state);
        self.changed.notify_all();
        respond_json(request, &json!({ "cancelled": true }));
    }

    /// Sends a completion from byte `offset` on while it is generated.
    fn send_completion(&self, request: Request, id: &str, offset: usize) {
        let (epoch, release, stream) = {
            let state = self.lock();
            let Some(completion) = state.completions.get(id) else { return request.abort() };
            (state.epoch, completion.release.clone(), completion.stream)
        };
        let kind = if stream { EVENT_STREAM } else { "application/json" };
        let headers = [("content-type", kind), (proto::header::RELEASE, release.as_str())];
        let Ok(mut out) = StreamWriter::start(request, 200, &headers) else { return };
        let mut sent = offset;
        loop {
            let Some((piece, done)) = self.next_bytes(id, sent, epoch) else { return };
            sent += piece.len();
            if out.write_all(&piece).and_then(|()| out.flush()).is_err() {
                return;
            }
            if done {
                // The client may have closed the connection.
                let _ = out.finish();
                return;
            }
        }
    }

    /// Waits for bytes after `from`; returns them and whether the completion is done.
    fn next_bytes(&self, id: &str, from: usize, epoch: u64) -> Option<(Vec<u8>, bool)> {
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return None;
            }
            let completion = state.completions.get(id).filter(|a| !a.cancelled)?;
            if completion.bytes.len() > from || completion.done {
                let piece = completion.bytes.get(from..).unwrap_or_default().to_vec();
                return Some((piece, completion.done));
            }
            state = self.changed.wait(state).expect("no holder panics");
        }
    }
}

/// A server-sent event with one token of a streamed completion.
fn chunk_event(id: &str, release: &str, token: &str) -> String {
    let chunk = json!({
        "id": id, "object": "chat.completion.chunk", "model": release,
        "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

/// The body of a completion that is not streamed.
fn completion_body(id: &str, release: &str, text: &str) -> String {
    json!({
        "id": id, "object": "chat.completion", "model": release,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "stop",
        }],
    })
    .to_string()
}
