//! A model of the platform's store that comes back from older copies.

use std::collections::{BTreeMap, BTreeSet};

use base64::{Engine, prelude::BASE64_STANDARD};
use http::{HeaderMap, HeaderValue, StatusCode};
use platform::store::{StoreEra, StorePosition, StoreRevision};
use tokio::time::Instant;
use transport::BufferedResponse;

/// Number of items in a page.
const PAGE_ITEMS: usize = 3;

/// What a key holds; `None` if it is deleted.
pub type Value = Option<u64>;

/// The store's contents and history.
#[derive(Clone, Default)]
pub struct Store {
    era: u64,
    revision: u64,
    values: BTreeMap<String, u64>,
    /// Revision, key and value of each change.
    changes: Vec<(u64, String, Value)>,
    /// Revision up to which changes are no longer available.
    compacted: u64,
}

impl Store {
    /// The newest position.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: StoreEra(self.era), revision: StoreRevision(self.revision) }
    }

    /// Returns what a key holds.
    pub fn value(&self, key: &str) -> Value {
        self.values.get(key).copied()
    }

    /// Writes or deletes a key.
    pub fn write(&mut self, key: &str, value: Value) {
        self.revision += 1;
        match value {
            Some(value) => self.values.insert(key.to_owned(), value),
            None => self.values.remove(key),
        };
        self.changes.push((self.revision, key.to_owned(), value));
    }

    /// Comes back from a copy.
    pub fn restore(&mut self, copy: Store) {
        *self = Store { era: self.era + 1, ..copy };
    }

    /// Discards the history.
    pub fn compact(&mut self) {
        self.compacted = self.revision;
    }

    /// The response to a read of the page after a key.
    pub fn range(&self, after: Option<&str>) -> BufferedResponse {
        let after = after.unwrap_or_default();
        let mut rest = self.values.iter().filter(|(key, _)| key.as_str() > after);
        let page: Vec<String> = (&mut rest)
            .take(PAGE_ITEMS)
            .map(|(key, value)| item(key, Some(*value), self.revision))
            .collect();
        let truncated = rest.next().is_some();
        let (items, at) = (page.join(","), self.revision);
        let body = format!(r#"{{"items":[{items}],"truncated":{truncated},"at":{at}}}"#);
        self.response(StatusCode::OK, body)
    }

    /// The response to a watch after a revision, without waiting.
    pub fn watch(&self, after: StoreRevision) -> BufferedResponse {
        if after.0 < self.compacted || after.0 > self.revision {
            return self.response(StatusCode::GONE, String::new());
        }
        let new = self.changes.iter().filter(|(revision, ..)| *revision > after.0);
        let events: Vec<String> =
            new.map(|(revision, key, value)| item(key, *value, *revision)).collect();
        let (events, at) = (events.join(","), self.revision);
        self.response(StatusCode::OK, format!(r#"{{"events":[{events}],"at":{at}}}"#))
    }

    /// The response of a store that refuses a call.
    pub fn refusal(&self) -> BufferedResponse {
        self.response(StatusCode::SERVICE_UNAVAILABLE, String::new())
    }

    fn response(&self, status: StatusCode, body: String) -> BufferedResponse {
        let headers = HeaderMap::from_iter([(
            http::HeaderName::from_static("store-era"),
            HeaderValue::from(self.era),
        )]);
        BufferedResponse { status, headers, body: body.into(), begun_at: Instant::now() }
    }
}

fn item(key: &str, value: Value, revision: u64) -> String {
    let Some(value) = value else {
        return format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#);
    };
    let text = match key.strip_prefix("op/version/") {
        Some(model) => format!(r#"{{"model":"{model}","version":{value}}}"#),
        None => format!(
            r#"{{"service":"s","address":"127.0.0.1:1","zone":"a","version":"v","slots":{value},
            "state":"ready","cold_remaining_ms":0,"sequence":1}}"#
        ),
    };
    let text = BASE64_STANDARD.encode(text);
    format!(r#"{{"key":"{key}","value":"{text}","revision":{revision}}}"#)
}

/// Those who write to the store. They write again what a restored store lacks.
#[derive(Default)]
pub struct Writers {
    /// The newest value of each key.
    newest: BTreeMap<String, Value>,
    published: BTreeSet<(String, u64)>,
    last_value: u64,
}

impl Writers {
    /// The newest value of each key.
    pub fn newest(&self) -> &BTreeMap<String, Value> {
        &self.newest
    }

    /// Whether a value was ever written to a key.
    pub fn has_published(&self, key: &str, value: u64) -> bool {
        self.published.contains(&(key.to_owned(), value))
    }

    /// Writes a new value, higher than all before.
    pub fn publish(&mut self, store: &mut Store, key: &str) {
        self.last_value += 1;
        self.published.insert((key.to_owned(), self.last_value));
        self.newest.insert(key.to_owned(), Some(self.last_value));
        store.write(key, Some(self.last_value));
    }

    /// Deletes a key.
    pub fn delete(&mut self, store: &mut Store, key: &str) {
        if self.newest.get(key).copied().flatten().is_some() {
            self.newest.insert(key.to_owned(), None);
            store.write(key, None);
        }
    }

    /// Writes again up to `limit` keys that the store lost.
    pub fn write_again(&self, store: &mut Store, limit: usize) {
        let lost = self.newest.iter().filter(|(key, value)| store.value(key) != **value);
        let lost: Vec<(String, Value)> =
            lost.take(limit).map(|(key, value)| (key.clone(), *value)).collect();
        for (key, value) in lost {
            store.write(&key, value);
        }
    }
}
