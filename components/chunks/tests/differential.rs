//! Differential tests of the chunk cache and the rate limiter against naive models.

use std::time::{Duration, Instant};

use base::{ByteRate, ByteSize, Digest};
use bytes::Bytes;
use chunks::{ChunkCache, LinkLimiter};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 200;

#[test]
fn the_cache_keeps_the_newest_chunks_that_fit() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let limit = 50 + usize::arbitrary(&mut g) % 100;
        let mut cache = ChunkCache::new(ByteSize(limit as u64));
        let mut held: Vec<Vec<u8>> = Vec::new();
        for _ in 0..60 {
            let kind = u8::arbitrary(&mut g) % 30;
            let chunk = vec![kind; 1 + usize::from(kind)];
            cache.insert(Digest::of(&chunk), Bytes::from(chunk.clone()));
            if !held.contains(&chunk) {
                held.push(chunk);
            }
            while held.len() > 1 && held.iter().map(Vec::len).sum::<usize>() > limit {
                held.remove(0);
            }
            let used: usize = held.iter().map(Vec::len).sum();
            assert_eq!(cache.used(), ByteSize(used as u64), "seed {seed}");
            for kind in 0..30u8 {
                let chunk = vec![kind; 1 + usize::from(kind)];
                let found = cache.get(&Digest::of(&chunk)).is_some();
                assert_eq!(found, held.contains(&chunk), "seed {seed}");
            }
        }
    }
}

#[test]
fn the_link_never_carries_more_than_rate_and_burst() {
    const RATE: u64 = 1_000_000;
    const BURST: Duration = Duration::from_millis(50);
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut limiter = LinkLimiter::new(ByteRate(RATE));
        let start = Instant::now();
        let mut now = start;
        // End of each reservation with the total bytes reserved until then.
        let mut reserved = vec![(start, 0u64)];
        for _ in 0..80 {
            now += Duration::from_micros(u64::arbitrary(&mut g) % 30_000);
            let size = u64::arbitrary(&mut g) % 20_000;
            let end = now + limiter.reserve(ByteSize(size), now);
            let (last, total) = *reserved.last().unwrap();
            assert!(end >= last, "seed {seed}: reservations keep their order");
            reserved.push((end, total + size));
        }
        for (i, (from, before)) in reserved.iter().enumerate() {
            for (to, total) in &reserved[i..] {
                let window = to.duration_since(*from) + BURST;
                let most = window.as_secs_f64() * RATE as f64 + 1.0;
                assert!(((total - before) as f64) <= most, "seed {seed}");
            }
        }
    }
}
