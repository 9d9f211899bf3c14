use fastrand::Rng;

use super::*;

/// Text as in a configuration with many routes.
fn routes(count: usize) -> Bytes {
    let route = |n| format!(r#"{{"name":"r{n}","host":"h{n}","kind":"safe","timeout_ms":400}}"#);
    Bytes::from((0..count).map(route).collect::<String>())
}

#[test]
fn a_body_survives_compression() {
    for body in [Bytes::new(), routes(3), routes(2000)] {
        let kept = StoreBody::Plain(body.clone()).compress();
        assert_eq!(kept.decompress().unwrap(), body);
        assert_eq!(kept.clone().compress(), kept);
        assert!(kept.len() <= body.len());
    }
    assert!(matches!(StoreBody::Plain(routes(2000)).compress(), StoreBody::Compressed(_)));
}

#[test]
fn a_body_that_does_not_become_smaller_stays_as_it_is() {
    let mut rng = Rng::with_seed(1);
    let noise: Vec<u8> = std::iter::repeat_with(|| rng.u8(..)).take(MIN_COMPRESSED).collect();
    let plain = StoreBody::Plain(Bytes::from(noise));
    assert_eq!(plain.clone().compress(), plain);
}

#[test]
fn bytes_that_are_no_compressed_body_are_an_error() {
    let StoreBody::Compressed(bytes) = StoreBody::Plain(routes(2000)).compress() else { panic!() };
    for cut in [0, 1, bytes.len() / 2, bytes.len() - 1] {
        assert!(StoreBody::Compressed(bytes.slice(..cut)).decompress().is_err(), "{cut}");
    }
    assert!(StoreBody::Compressed(Bytes::from_static(b"no zlib")).decompress().is_err());
}

/// Guards against a few bytes from another process that fill the memory.
#[test]
fn a_body_that_becomes_too_large_is_an_error() {
    let zeros = Bytes::from(vec![0; MAX_DECOMPRESSED + 1]);
    let body = StoreBody::Plain(zeros).compress();
    assert!(body.len() < 1 << 20);
    assert!(matches!(body.decompress(), Err(ReadError::DecompressedTooLarge(_))));
}
