//! Memory that responses take from their arrival until their callers have read them. A process that exceeds its
//! memory is killed, with all its requests: callers that read slowly must not make it hold ever more.

use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering::Relaxed},
};

use bytes::Bytes;
use tokio::sync::Notify;

use crate::state::Gateway;

/// Bytes of responses that are held for callers.
#[derive(Debug, Default)]
pub(crate) struct ResponseMemory {
    held: AtomicUsize,
    /// Whether a response takes more than the limit leaves. Only one does at a time.
    is_overdrawn: AtomicBool,
    /// Notified when memory was released.
    pub(crate) released: Notify,
}

impl ResponseMemory {
    /// Returns the number of bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Relaxed)
    }

    /// Creates a reservation of no bytes.
    pub(crate) fn reserve(self: &Arc<ResponseMemory>) -> ResponseReservation {
        ResponseReservation { memory: self.clone(), bytes: 0, overdraws: false, has_waited: false }
    }

    /// Counts bytes as held until they are dropped.
    pub(crate) fn hold(self: &Arc<ResponseMemory>, bytes: Bytes) -> Bytes {
        let mut reservation = self.reserve();
        reservation.add(bytes.len());
        reservation.hold(bytes)
    }
}

/// Memory reserved for a response. Released on drop.
#[derive(Debug)]
pub(crate) struct ResponseReservation {
    memory: Arc<ResponseMemory>,
    bytes: usize,
    overdraws: bool,
    /// Whether it had to wait for memory, while its endpoint was not read.
    pub(crate) has_waited: bool,
}

impl Drop for ResponseReservation {
    fn drop(&mut self) {
        self.memory.held.fetch_sub(self.bytes, Relaxed);
        if self.overdraws {
            self.memory.is_overdrawn.store(false, Relaxed);
        }
        self.memory.released.notify_waiters();
    }
}

/// Bytes of a response and the memory reserved for them.
struct HeldBytes {
    bytes: Bytes,
    _reservation: ResponseReservation,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl ResponseReservation {
    /// Reserves more bytes. Waits until the memory has room for them, unless it is the only one that goes beyond
    /// `limit`: responses that all wait for each other would never be complete.
    pub(crate) async fn grow(&mut self, bytes: usize, limit: usize) {
        loop {
            let memory = self.memory.clone();
            let released = memory.released.notified();
            if self.memory.held() + bytes <= limit || self.may_overdraw() {
                self.add(bytes);
                return;
            }
            self.has_waited = true;
            released.await;
        }
    }

    /// Keeps the reservation until `bytes` are dropped.
    pub(crate) fn hold(self, bytes: Bytes) -> Bytes {
        if bytes.is_empty() {
            return bytes;
        }
        Bytes::from_owner(HeldBytes { bytes, _reservation: self })
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.memory.held.fetch_add(bytes, Relaxed);
    }

    fn may_overdraw(&mut self) -> bool {
        self.overdraws = self.overdraws || !self.memory.is_overdrawn.swap(true, Relaxed);
        self.overdraws
    }
}

impl Gateway {
    /// Maximum number of bytes of responses that are held.
    pub(crate) fn response_limit(&self) -> usize {
        let memory = self.process.borrow().limits.memory_bytes as f64;
        (memory * self.settings.response_memory_fraction) as usize
    }

    /// Whether so much is held for callers that no further requests are admitted.
    pub(crate) fn is_response_memory_full(&self) -> bool {
        self.response_memory.held() >= self.response_limit()
    }
}

#[cfg(test)]
mod tests;
