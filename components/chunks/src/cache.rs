//! Bounded in-memory cache of chunks.

use std::collections::{HashMap, VecDeque};

use base::{ByteSize, Digest};
use bytes::Bytes;

/// Holds verified chunks; evicts the oldest first when the limit is exceeded.
#[derive(Debug)]
pub struct ChunkCache {
    limit: ByteSize,
    /// Total size of all chunks in bytes; at most `limit`, except for a single larger chunk.
    used: u64,
    chunks: HashMap<Digest, Bytes>,
    /// Keys of `chunks`, oldest first.
    order: VecDeque<Digest>,
}

impl ChunkCache {
    /// Creates an empty cache that holds at most `limit` bytes.
    pub fn new(limit: ByteSize) -> ChunkCache {
        ChunkCache { limit, used: 0, chunks: HashMap::new(), order: VecDeque::new() }
    }

    /// Adds a chunk whose digest the caller has verified.
    pub fn insert(&mut self, digest: Digest, chunk: Bytes) {
        if self.chunks.contains_key(&digest) {
            return;
        }
        self.used += chunk.len() as u64;
        self.chunks.insert(digest, chunk);
        self.order.push_back(digest);
        while self.used > self.limit.0 && self.order.len() > 1 {
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) {
        let oldest = self.order.pop_front();
        if let Some(chunk) = oldest.and_then(|digest| self.chunks.remove(&digest)) {
            self.used -= chunk.len() as u64;
        }
    }

    /// The chunk with the given digest.
    pub fn get(&self, digest: &Digest) -> Option<Bytes> {
        self.chunks.get(digest).cloned()
    }

    /// Total size of the cached chunks.
    pub fn used(&self) -> ByteSize {
        ByteSize(self.used)
    }
}

#[cfg(test)]
mod tests;
