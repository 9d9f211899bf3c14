use base::ByteSize;
use manifest::ReleasePart;
use rollout::OrderKind;

use super::*;

const WEIGHTS: [u8; 8] = [1, 2, 3, 4, 5, 6, 7, 8];

/// A load of two chunks, both of which are held.
fn loading(fence: u64) -> Loading {
    let now = Instant::now();
    let list = ChunkList::from_weights(&WEIGHTS, ByteSize(4));
    let digest = Digest::of(&list.to_bytes());
    let id: ReleaseId = "base@v1".parse().unwrap();
    let part = ReleasePart { chunks: digest, size: ByteSize(8) };
    let release = Release { id: id.clone(), parts: vec![part] };
    let order = Order { order: OrderKind::Prepare, release: id, fence: Fence(fence) };
    let mut loading = Loading::new(release, order);
    loading.add_list(digest, list);
    loading.start(&[], &"vm-0".parse().unwrap(), TransferSettings::default(), now);
    for transfer in loading.transfers.values_mut() {
        transfer.mark_held(0, now);
        transfer.mark_held(1, now);
    }
    loading
}

#[test]
fn chunks_of_an_earlier_load_do_not_count() {
    let (earlier, mut loading) = (loading(1), loading(2));
    let [first, second] = [Digest::of(&WEIGHTS[..4]), Digest::of(&WEIGHTS[4..])];
    assert!(!loading.mark_staged(&earlier.id, first));
    assert!(!loading.mark_staged(&loading.id.clone(), second));
    assert!(loading.mark_staged(&loading.id.clone(), first));
}
