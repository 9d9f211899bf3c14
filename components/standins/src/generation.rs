//! How the stand-in engine generates and sends answers.

use std::{io::Write, sync::Arc};

use net::{Request, StreamWriter, header, query_param, read_body, respond_with_error};
use serde_json::{Value, json};

use crate::{
    answers::token,
    engine::{Answer, BODY, CRASH_MARK, Shared, respond_json},
};

/// An answer to generate.
struct Job {
    /// The attempt.
    id: String,
    /// Names the answer to the caller.
    name: String,
    release: String,
    prompt: String,
    tokens: usize,
    stream: bool,
    priority: u8,
}

impl Shared {
    pub(crate) fn complete(self: &Arc<Shared>, mut request: Request) {
        let body = read_body(&mut request, BODY).unwrap_or_default();
        let call: Value = serde_json::from_slice(&body).unwrap_or_default();
        let messages = call["messages"].as_array().cloned().unwrap_or_default();
        let prompt = messages.last().and_then(|m| m["content"].as_str()).unwrap_or_default();
        let tokens = call["max_tokens"].as_u64().unwrap_or(16) as usize;
        let id = header(&request, proto::header::ATTEMPT).unwrap_or("none").to_owned();
        let name = header(&request, proto::header::REQUEST_ID).unwrap_or(&id).to_owned();
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
            let answer = Answer { release: release.clone(), stream, ..Answer::default() };
            state.answers.insert(id.clone(), answer);
            (release, state.epoch)
        };
        if prompt.contains(CRASH_MARK) {
            self.crash();
            request.abort();
            return;
        }
        let engine = self.clone();
        let job = Job {
            id: id.clone(),
            name,
            release,
            prompt: prompt.to_owned(),
            tokens,
            stream,
            priority: priority.unwrap_or(u8::MAX),
        };
        std::thread::spawn(move || engine.generate(&job, epoch));
        self.send(request, &id, 0);
    }

    fn generate(&self, job: &Job, epoch: u64) {
        let Job { id, name, release, prompt, tokens, stream, priority } = job;
        if !self.take_slot(*priority, epoch) {
            return;
        }
        let mut text = String::new();
        for n in 0..*tokens {
            std::thread::sleep(self.settings.token_time);
            let token = token(release, prompt, n);
            let piece = if *stream { event(name, release, &token) } else { String::new() };
            text.push_str(&token);
            if !self.append(id, piece.as_bytes(), epoch) {
                return;
            }
        }
        let last =
            if *stream { "data: [DONE]\n\n".to_owned() } else { whole(name, release, &text) };
        let mut state = self.lock();
        if state.epoch != epoch {
            return;
        }
        state.slots.busy -= 1;
        if let Some(answer) = state.answers.get_mut(id) {
            answer.bytes.extend_from_slice(last.as_bytes());
            answer.done = true;
        }
        self.changed.notify_all();
    }

    fn take_slot(&self, priority: u8, epoch: u64) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        let ticket = state.slots.join(priority);
        while state.epoch == epoch && !state.slots.take(ticket, self.settings.slots) {
            state = self.changed.wait(state).expect("no holder panics");
        }
        // The next in turn may find a free slot too.
        self.changed.notify_all();
        state.epoch == epoch
    }

    fn append(&self, id: &str, piece: &[u8], epoch: u64) -> bool {
        let mut state = self.lock();
        if state.epoch != epoch {
            return false;
        }
        let Some(answer) = state.answers.get_mut(id).filter(|a| !a.broken) else {
            state.slots.busy -= 1;
            self.changed.notify_all();
            return false;
        };
        answer.bytes.extend_from_slice(piece);
        self.changed.notify_all();
        true
    }

    pub(crate) fn resume(&self, request: Request, id: &str, url: &str) {
        let offset = query_param(url, "offset").and_then(|v| v.parse().ok()).unwrap_or(0);
        if self.lock().answers.contains_key(id) {
            self.send(request, id, offset);
        } else {
            respond_with_error(request, 404, "no such answer", "unknown");
        }
    }

    pub(crate) fn cancel(&self, request: Request, path: &str) {
        let id = path.strip_prefix("/v1/answers/").unwrap_or_default();
        let mut state = self.lock();
        if let Some(answer) = state.answers.get_mut(id).filter(|a| !a.broken && !a.done) {
            answer.broken = true;
            state.counts.cancelled += 1;
        }
        drop(state);
        self.changed.notify_all();
        respond_json(request, &json!({ "cancelled": true }));
    }

    /// Sends an answer from `offset` on, as it is generated.
    fn send(&self, request: Request, id: &str, offset: usize) {
        let (epoch, release, stream) = {
            let state = self.lock();
            let Some(answer) = state.answers.get(id) else { return request.abort() };
            (state.epoch, answer.release.clone(), answer.stream)
        };
        let kind = if stream { "text/event-stream" } else { "application/json" };
        let headers = [("content-type", kind), (proto::header::RELEASE, release.as_str())];
        let Ok(mut out) = StreamWriter::start(request, 200, &headers) else { return };
        let mut sent = offset;
        loop {
            let Some((piece, done)) = self.next_piece(id, sent, epoch) else { return };
            sent += piece.len();
            if out.write_all(&piece).and_then(|()| out.flush()).is_err() {
                return;
            }
            if done {
                // The receiver may be gone.
                let _ = out.finish();
                return;
            }
        }
    }

    fn next_piece(&self, id: &str, from: usize, epoch: u64) -> Option<(Vec<u8>, bool)> {
        let mut state = self.lock();
        loop {
            if state.epoch != epoch {
                return None;
            }
            let answer = state.answers.get(id).filter(|a| !a.broken)?;
            if answer.bytes.len() > from || answer.done {
                let piece = answer.bytes.get(from..).unwrap_or_default().to_vec();
                return Some((piece, answer.done));
            }
            state = self.changed.wait(state).expect("no holder panics");
        }
    }
}

fn event(id: &str, release: &str, token: &str) -> String {
    let chunk = json!({
        "id": id, "object": "chat.completion.chunk", "model": release,
        "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
    });
    format!("data: {chunk}\n\n")
}

fn whole(id: &str, release: &str, text: &str) -> String {
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
