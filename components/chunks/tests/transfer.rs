//! Checks the selection of chunks against a full scan of the announcements.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{ByteSize, Digest, VmId};
use chunks::{Action, FetchError, Plan, Source, Transfer, TransferSettings, VmLocation};
use manifest::ChunkList;
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 100;
const CHUNKS: u32 = 24;
const VMS: usize = 6;

fn locations() -> Vec<VmLocation> {
    let location = |i| VmLocation {
        vm: format!("vm-{i}").parse().unwrap(),
        zone: "zone".parse().unwrap(),
        region: "region".parse().unwrap(),
    };
    (0..VMS).map(location).collect()
}

#[test]
fn a_transfer_fetches_a_rarest_chunk_and_none_twice() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut below = |n: usize| usize::arbitrary(&mut g) % n;
        let locations = locations();
        let digests: Vec<Digest> = (0..CHUNKS).map(|i| Digest::of(&i.to_be_bytes())).collect();
        let list = ChunkList { chunk_size: ByteSize(1 << 20), digests: digests.clone() };
        let plan = Plan::new(&Digest::of(b"list"), &locations, &locations[0].vm);
        let start = Instant::now();
        let settings = TransferSettings { max_peer_fetches: 1, ..TransferSettings::default() };
        let mut transfer = Transfer::new(list, plan, settings, start);
        let mut holders: BTreeMap<u32, BTreeSet<VmId>> = BTreeMap::new();
        let (mut held, mut fetching) = (BTreeSet::new(), BTreeMap::new());
        let mut now = start;
        for step in 0..400 {
            now += Duration::from_millis(20);
            if below(3) == 0 {
                let from = locations[1 + below(VMS - 1)].vm.clone();
                let chunk = below(CHUNKS as usize) as u32;
                transfer.handle_announcement(&from, &[chunk], now);
                holders.entry(chunk).or_default().insert(from);
            }
            for action in transfer.poll(now) {
                let Action::Fetch { chunk, digest, source } = action else { continue };
                assert_eq!(digest, digests[chunk as usize], "seed {seed}");
                assert!(!held.contains(&chunk), "seed {seed} step {step}: {chunk} is held");
                let busy = fetching.insert(chunk, source.clone()).is_some();
                assert!(!busy, "seed {seed} step {step}: {chunk} is fetched twice");
                let Source::Peer(vm) = source else { continue };
                // A peer without an announcement may only be asked speculatively; the rarest-first
                // order does not apply to it.
                let Some(peers) = holders.get(&chunk).filter(|p| p.contains(&vm)) else { continue };
                let open = |c: &u32| !held.contains(c) && !fetching.contains_key(c);
                let rarest = holders.iter().filter(|(c, _)| open(c)).map(|(_, p)| p.len()).min();
                let most = rarest.unwrap_or(peers.len());
                assert!(peers.len() <= most, "seed {seed} step {step}: {chunk} is not rarest");
            }
            let done: Vec<u32> = fetching.keys().copied().filter(|_| below(2) == 0).collect();
            for chunk in done {
                let source = fetching.remove(&chunk).unwrap();
                if below(10) == 0 {
                    transfer.handle_failure(chunk, &source, FetchError::Corrupted, now);
                    if let Source::Peer(vm) = source {
                        holders.get_mut(&chunk).map(|peers| peers.remove(&vm));
                        holders.retain(|_, peers| !peers.is_empty());
                    }
                } else {
                    transfer.mark_held(chunk, now);
                    held.insert(chunk);
                }
            }
            assert_eq!(transfer.progress().0, held.len(), "seed {seed} step {step}");
        }
        assert!(held.len() * 2 > CHUNKS as usize, "seed {seed}: {} held", held.len());
    }
}
