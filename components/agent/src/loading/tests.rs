use rollout::OrderKind;

use super::*;

fn loading(fence: u64) -> Loading {
    let id: ReleaseId = "m@v1".parse().unwrap();
    let order = Order { order: OrderKind::Prepare, release: id.clone(), fence: Fence(fence) };
    Loading::new(Release { id, parts: Vec::new() }, order)
}

#[test]
fn a_chunk_that_an_earlier_load_staged_does_not_count() {
    let (first, second) = (loading(1), loading(2));
    let chunk = first.chunk_to_stage(Digest::of(b"chunk"), Bytes::from_static(b"chunk"));
    assert!(first.owns(&chunk));
    assert!(!second.owns(&chunk));
}
