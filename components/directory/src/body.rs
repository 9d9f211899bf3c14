//! Bodies of the store's responses, as they are kept and passed on.

use std::io::{Read, Write};

use bytes::Bytes;
use flate2::{Compression, read::ZlibDecoder, write::ZlibEncoder};

use crate::ReadError;

/// Size in bytes from which compressing a body pays.
const MIN_COMPRESSED: usize = 4 << 10;
/// Maximum size in bytes of a decompressed body.
const MAX_DECOMPRESSED: usize = 16 << 20;

/// A body of a response of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StoreBody {
    /// As the store sent it.
    Plain(Bytes),
    /// Compressed in the zlib format.
    Compressed(Bytes),
}

impl StoreBody {
    /// An empty body.
    pub fn empty() -> StoreBody {
        StoreBody::Plain(Bytes::new())
    }

    /// The body as it is kept: compressed if it is large.
    pub fn compress(self) -> StoreBody {
        match self {
            StoreBody::Plain(body) if body.len() >= MIN_COMPRESSED => {
                compressed(&body).map_or(StoreBody::Plain(body), StoreBody::Compressed)
            }
            body => body,
        }
    }

    /// The body as the store sent it.
    ///
    /// # Errors
    ///
    /// Fails if it was received compressed and cannot be decompressed, or is too large then.
    pub fn decompress(&self) -> Result<Bytes, ReadError> {
        match self {
            StoreBody::Plain(body) => Ok(body.clone()),
            StoreBody::Compressed(body) => decompressed(body),
        }
    }

    /// The size in bytes as it is kept.
    pub fn len(&self) -> usize {
        match self {
            StoreBody::Plain(body) | StoreBody::Compressed(body) => body.len(),
        }
    }

    /// Whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Compresses a body; `None` if that does not make it smaller.
fn compressed(body: &[u8]) -> Option<Bytes> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(body).ok()?;
    let bytes = encoder.finish().ok()?;
    (bytes.len() < body.len()).then(|| Bytes::from(bytes))
}

fn decompressed(body: &[u8]) -> Result<Bytes, ReadError> {
    let mut bytes = Vec::new();
    let limit = MAX_DECOMPRESSED as u64 + 1;
    ZlibDecoder::new(body).take(limit).read_to_end(&mut bytes).map_err(ReadError::Decompress)?;
    match bytes.len() <= MAX_DECOMPRESSED {
        true => Ok(Bytes::from(bytes)),
        false => Err(ReadError::DecompressedTooLarge(MAX_DECOMPRESSED)),
    }
}

#[cfg(test)]
mod tests;
