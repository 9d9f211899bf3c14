//! Malformed documents must be rejected with an error and never panic, and applying a delta must
//! give the same document as a full copy.

use base::Digest;
use manifest::{ChunkList, Manifest, VmList};
use quickcheck::{Arbitrary, Gen};

const CASES: u64 = 400;

fn example() -> Vec<u8> {
    std::fs::read(concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/manifest/today.yaml"))
        .or_else(|_| first_example())
        .unwrap()
}

fn first_example() -> std::io::Result<Vec<u8>> {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/manifest");
    let mut files: Vec<_> = std::fs::read_dir(folder)?.map(|f| f.unwrap().path()).collect();
    files.sort();
    std::fs::read(&files[0])
}

/// Corrupts `text`: changes, truncates, duplicates or inserts a few bytes.
fn corrupt(text: &[u8], g: &mut Gen) -> Vec<u8> {
    let mut text = text.to_vec();
    for _ in 0..1 + usize::arbitrary(g) % 4 {
        let at = usize::arbitrary(g) % (text.len() + 1);
        match u8::arbitrary(g) % 4 {
            0 => text.truncate(at),
            1 => text.insert(at, u8::arbitrary(g)),
            2 if at < text.len() => text[at] = u8::arbitrary(g),
            _ => {
                let segment = text[at..(at + 40).min(text.len())].to_vec();
                text.splice(at..at, segment);
            }
        }
    }
    text
}

#[test]
fn a_corrupted_manifest_is_valid_or_rejected_with_reasons() {
    let example = example();
    assert!(Manifest::parse(&example).is_ok());
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        match Manifest::parse(&corrupt(&example, &mut g)) {
            Ok(manifest) => assert!(manifest.validate().is_empty(), "seed {seed}"),
            Err(err) => {
                assert!(!err.problems.is_empty() && !err.to_string().is_empty(), "seed {seed}");
            }
        }
    }
}

#[test]
fn random_bytes_are_rejected() {
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(400, seed);
        let noise = Vec::<u8>::arbitrary(&mut g);
        assert!(Manifest::parse(&noise).is_err(), "seed {seed}");
        assert!(VmList::parse(&noise).is_err(), "seed {seed}");
        assert!(ChunkList::parse(&noise, Digest::of(&noise)).is_err(), "seed {seed}");
    }
}

#[test]
fn deep_nesting_and_alias_bombs_are_rejected() {
    let deep = format!("{}{}", "[".repeat(20_000), "]".repeat(20_000));
    assert!(Manifest::parse(deep.as_bytes()).is_err());
    assert!(VmList::parse(deep.as_bytes()).is_err());
    let mut bomb = String::from("a0: &a0 [x, x, x, x, x, x, x, x, x]\n");
    for i in 1..30 {
        let last = format!("*a{}", i - 1);
        let list = vec![last; 9].join(", ");
        bomb.push_str(&format!("a{i}: &a{i} [{list}]\n"));
    }
    assert!(Manifest::parse(bomb.as_bytes()).is_err());
}

#[test]
fn applying_a_delta_gives_the_full_document() {
    let original = Manifest::parse(&example()).unwrap();
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(20, seed);
        let mut next = original.clone();
        next.revision = next.revision.next();
        for _ in 0..1 + usize::arbitrary(&mut g) % 4 {
            change_randomly(&mut next, &mut g);
        }
        next.sort();
        let mut base = original.clone();
        base.sort();
        let delta = base.delta(&next, Digest::of(next.to_text().as_bytes()));
        assert_eq!(base.apply(&delta).to_text(), next.to_text(), "seed {seed}");
    }
}

fn change_randomly(manifest: &mut Manifest, g: &mut Gen) {
    let pick = |len: usize, g: &mut Gen| usize::arbitrary(g) % len;
    match u8::arbitrary(g) % 5 {
        0 if !manifest.rollouts.is_empty() => {
            let at = pick(manifest.rollouts.len(), g);
            manifest.rollouts.remove(at);
        }
        1 if !manifest.rollouts.is_empty() => {
            let at = pick(manifest.rollouts.len(), g);
            let mut added = manifest.rollouts[at].clone();
            added.id = format!("added-{}", u64::arbitrary(g)).parse().unwrap();
            manifest.rollouts.push(added);
        }
        2 if !manifest.workspaces.is_empty() => {
            let at = pick(manifest.workspaces.len(), g);
            manifest.workspaces[at].queue += 1;
        }
        3 => manifest.origin.percent += 1,
        _ => manifest.services.reverse(),
    }
}
