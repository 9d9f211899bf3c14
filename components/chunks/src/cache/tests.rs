use super::*;

#[test]
fn the_cache_stays_within_its_limit() {
    let mut cache = ChunkCache::new(ByteSize(100));
    for i in 0..50u8 {
        let chunk = Bytes::from(vec![i; 30]);
        cache.insert(Digest::of(&chunk), chunk);
        assert!(cache.used() <= ByteSize(100));
    }
    assert!(cache.get(&Digest::of(&[49; 30])).is_some());
    assert!(cache.get(&Digest::of(&[0; 30])).is_none());
}
