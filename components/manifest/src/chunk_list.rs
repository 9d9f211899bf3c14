//! Chunk lists: the digests of a version's chunks, stored under the digest of the list itself.

use base::{ByteSize, Digest, Problem};
use serde::{Deserialize, Serialize};

use crate::ManifestError;

/// The chunks of one version, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChunkList {
    /// Size of each chunk except the last, which may be shorter.
    pub chunk_size: ByteSize,
    /// Digest of each chunk.
    pub digests: Vec<Digest>,
}

impl ChunkList {
    /// Splits `weights` into chunks of `chunk_size` and lists their digests.
    pub fn from_weights(weights: &[u8], chunk_size: ByteSize) -> ChunkList {
        let chunks = weights.chunks(chunk_size.0.max(1) as usize);
        ChunkList { chunk_size, digests: chunks.map(Digest::of).collect() }
    }

    /// Serializes the list in its published form (JSON).
    pub fn to_bytes(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a chunk list has no keys that JSON refuses")
    }

    /// Parses a list and checks that its bytes match `digest`.
    pub fn parse(bytes: &[u8], digest: Digest) -> Result<ChunkList, ManifestError> {
        let invalid = |what: String| ManifestError { problems: vec![Problem::new("chunks", what)] };
        if Digest::of(bytes) != digest {
            return Err(invalid(format!(
                "value does not match its digest {digest}; publish it again"
            )));
        }
        let list: ChunkList = serde_json::from_slice(bytes)
            .map_err(|err| invalid(format!("{err}; publish a chunk list as JSON")))?;
        if list.chunk_size.0 == 0 {
            return Err(invalid("chunk_size is 0; use for instance 16MiB".into()));
        }
        Ok(list)
    }
}
