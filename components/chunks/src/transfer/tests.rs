use super::*;

fn vm(i: usize) -> VmId {
    format!("vm-{i}").parse().unwrap()
}

fn transfer(me: usize, now: Instant) -> Transfer {
    let list = ChunkList::of(&[7; 64], base::ByteSize(4));
    let members: Vec<VmId> = (0..4).map(vm).collect();
    let tree = Tree::new(&Digest::of(b"list"), &members, &vm(me));
    Transfer::new(list, tree, TransferSettings::default(), now)
}

#[test]
fn only_roots_ask_the_store_or_the_origin_at_first() {
    let now = Instant::now();
    let mut asked = 0;
    for me in 0..4 {
        for action in transfer(me, now).poll(now) {
            assert!(matches!(action, Action::Fetch { source: Source::Store, .. }));
            asked += 1;
        }
    }
    assert_eq!(asked, 16);
}

#[test]
fn a_corrupted_chunk_is_fetched_elsewhere() {
    let now = Instant::now();
    let mut transfer = transfer(0, now);
    let chunk = (0..16).find(|&c| transfer.tree.depth_order(c) != Some(0)).unwrap();
    transfer.offered(&vm(1), &[chunk]);
    transfer.offered(&vm(2), &[chunk]);
    let actions = transfer.poll(now);
    let from = |a: &Action| match a {
        Action::Fetch { chunk: c, source, .. } if *c == chunk => Some(source.clone()),
        _ => None,
    };
    assert_eq!(actions.iter().find_map(from), Some(Source::Peer(vm(1))));
    transfer.failed(chunk, &Source::Peer(vm(1)), FetchError::Corrupted, now);
    let actions = transfer.poll(now);
    assert_eq!(actions.iter().find_map(from), Some(Source::Peer(vm(2))));
}
