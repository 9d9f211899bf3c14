//! Generates and publishes random weights.

use base::{ByteSize, Digest};
use bytes::Bytes;
use manifest::{ChunkList, Version};
use standins::{BlobService, ValueService};

/// The weights of one version of a model.
pub struct Weights {
    /// The version's entry in the manifest.
    pub version: Version,
    /// The chunks, in order.
    pub chunks: Vec<Bytes>,
    list: ChunkList,
}

impl Weights {
    /// Generates `size` random bytes from `seed`.
    pub fn generate(id: &str, size: ByteSize, chunk_size: ByteSize, seed: u64) -> Weights {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut data = vec![0; size.0 as usize];
        rng.fill(&mut data);
        let list = ChunkList::from_weights(&data, chunk_size);
        let digest = Digest::of(&list.to_bytes());
        let data = Bytes::from(data);
        let step = chunk_size.0 as usize;
        let chunk_at = |start: usize| data.slice(start..(start + step).min(data.len()));
        let chunks = (0..data.len()).step_by(step).map(chunk_at).collect();
        let id = id.parse().expect("version ids of the testbed are well-formed");
        Weights { version: Version { id, size, chunks: digest }, chunks, list }
    }
}

/// Publishes the chunk list at the configuration service and the chunks at a blob service.
pub fn publish_weights(weights: &Weights, config: &ValueService, source: &BlobService) {
    let name = format!("chunks/{}", weights.version.chunks);
    config.publish(&name, 1, weights.list.to_bytes());
    for chunk in &weights.chunks {
        source.add_chunk(chunk.clone());
    }
}
