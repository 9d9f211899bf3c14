//! Parsers of the internal protocol must handle malformed input without a panic or unbounded
//! memory.

use std::io::{BufReader, Read};

use base::{AttemptId, ByteRate, ByteSize, Digest, Permille, Rate, ReleaseId, Timeout};
use proto::{DocumentReply, DocumentRequest, Frame, FrameError, Gossip};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 400;

#[test]
fn damaged_frames_are_malformed_or_frames() {
    let mut line = Vec::new();
    Frame::data(7, b"some bytes of an answer").write(&mut line).unwrap();
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut bytes = line.clone();
        for _ in 0..1 + u8::arbitrary(&mut g) % 3 {
            let at = usize::arbitrary(&mut g) % bytes.len();
            bytes[at] = u8::arbitrary(&mut g);
        }
        bytes.push(b'\n');
        let mut input = BufReader::new(&bytes[..]);
        match Frame::read(&mut input) {
            Ok(Frame::Data { body, .. }) => drop(Frame::decode(&body)),
            Ok(_) | Err(FrameError::Malformed(_) | FrameError::Closed) => {}
            Err(FrameError::Io(err)) => panic!("seed {seed}: {err}"),
        }
    }
}

#[test]
fn an_endless_line_takes_bounded_memory() {
    const ENDLESS: u64 = 1 << 32;
    let mut input = BufReader::new(std::io::repeat(b'x').take(ENDLESS));
    assert!(Frame::read(&mut input).is_err());
    let left = input.into_inner().limit();
    assert!(ENDLESS - left <= 64 << 20, "{} bytes were read", ENDLESS - left);
}

#[test]
fn random_input_is_rejected_without_panic() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(200, seed);
        let random_bytes = Vec::<u8>::arbitrary(&mut g);
        assert!(serde_json::from_slice::<Gossip>(&random_bytes).is_err(), "seed {seed}");
        assert!(serde_json::from_slice::<DocumentReply>(&random_bytes).is_err(), "seed {seed}");
        assert!(serde_json::from_slice::<DocumentRequest>(&random_bytes).is_err(), "seed {seed}");
        let text = String::arbitrary(&mut g);
        // Any of these may be well formed by chance; none may panic.
        drop(text.parse::<AttemptId>());
        drop(text.parse::<Digest>());
        drop(text.parse::<ReleaseId>());
        drop(text.parse::<ByteSize>());
        drop(text.parse::<ByteRate>());
        drop(text.parse::<Rate>());
        drop(text.parse::<Permille>());
        drop(text.parse::<Timeout>());
    }
}

#[test]
fn odd_numbers_and_signs_are_refused() {
    for text in ["-1/s", "inf/s", "NaN/s", "1e999/s"] {
        assert!(text.parse::<Rate>().is_err(), "{text}");
    }
    for text in ["-1MiB", "NaNMiB", "", "B", "MiB"] {
        assert!(text.parse::<ByteSize>().is_err(), "{text}");
    }
    for text in ["+0000000000000000000000000000001", "0x000000000000000000000000000001"] {
        assert!(text.parse::<AttemptId>().is_err(), "{text}");
    }
    for text in ["101%", "-1%", "NaN%", "%"] {
        assert!(text.parse::<Permille>().is_err(), "{text}");
    }
}
