use super::*;

#[test]
fn the_pool_stays_within_its_bound() {
    let mut pool = ChunkCache::new(ByteSize(100));
    for i in 0..50u8 {
        let chunk = Bytes::from(vec![i; 30]);
        pool.insert(Digest::of(&chunk), chunk);
        assert!(pool.used() <= ByteSize(100));
    }
    assert!(pool.get(&Digest::of(&[49; 30])).is_some());
    assert!(pool.get(&Digest::of(&[0; 30])).is_none());
}
