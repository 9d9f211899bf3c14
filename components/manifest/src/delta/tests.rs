use std::time::Duration;

use base::{ByteSize, Permille, Rate, Timeout};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::*;
use crate::{MAX_VALUE_BYTES, Role, Service, ServiceKind, Version, VersionRef, VmState};

fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

fn rollout(i: usize, version: &str) -> Rollout {
    Rollout {
        id: id(&format!("rollout-{i:05}")),
        service: id("assistant"),
        workspace: id(&format!("workspace-{:03}", i % 400)),
        model: VersionRef { id: id("base"), version: id(version) },
        adapter: None,
        replicas: 5,
        floor: 4,
        canary: 1,
        soak: Timeout(Duration::from_secs(5)),
        order: 0,
        regions: vec![id("region-1"), id("region-2")],
        avoid: Vec::new(),
    }
}

/// A manifest with 12,000 replicas in 2,400 rollouts of 400 workspaces.
fn design_size_manifest() -> Manifest {
    let workspace = |i| Workspace {
        id: id(&format!("workspace-{i:03}")),
        share: Permille(2),
        requests: Rate(130.0),
        queue: 64,
        keys: vec![Digest::of(format!("key-{i}").as_bytes()); 1],
    };
    let version = |name: &str| Version {
        id: id(name),
        size: ByteSize(16 << 30),
        chunks: Digest::of(name.as_bytes()),
    };
    Manifest {
        revision: Revision(7),
        workspaces: (0..400).map(workspace).collect(),
        services: vec![Service {
            id: id("assistant"),
            kind: ServiceKind::Model,
            unrepeatable: Vec::new(),
        }],
        models: vec![Model { id: id("base"), versions: vec![version("v1"), version("v2")] }],
        rollouts: (0..2400).map(|i| rollout(i, "v1")).collect(),
        ..Manifest::default()
    }
}

#[test]
fn a_manifest_of_the_design_size_fits_into_one_value() {
    let manifest = design_size_manifest();
    let text = manifest.to_text();
    assert!(text.len() < MAX_VALUE_BYTES, "{} bytes", text.len());
    assert_eq!(Manifest::parse(text.as_bytes()), Ok(manifest));
}

#[test]
fn the_delta_of_one_changed_rollout_is_small() {
    let old = design_size_manifest();
    let mut new = old.clone();
    new.revision = Revision(8);
    new.rollouts[77] = rollout(77, "v2");
    let digest = Digest::of(new.to_text().as_bytes());
    let delta = old.delta(&new, digest);
    assert_eq!((delta.set.len(), delta.gone.len()), (1, 0));
    let bytes = serde_json::to_vec(&delta).unwrap().len();
    assert!(bytes < 1000, "{bytes} bytes");
    assert_eq!(old.apply(&delta), new);
}

#[test]
fn the_text_of_a_manifest_does_not_depend_on_entry_order() {
    let mut manifest = design_size_manifest();
    let text = manifest.to_text();
    manifest.rollouts.reverse();
    manifest.workspaces.rotate_left(17);
    let unsorted = serde_json::to_vec(&manifest).unwrap();
    assert_eq!(Manifest::parse(&unsorted).unwrap().to_text(), text);
}

/// Generated entries: the first number identifies a rollout or VM, the second its content.
#[derive(Debug, Clone)]
struct Entries(Vec<(u8, u8)>);

impl Arbitrary for Entries {
    fn arbitrary(g: &mut Gen) -> Entries {
        Entries(Vec::<(u8, u8)>::arbitrary(g).into_iter().map(|(a, b)| (a % 16, b % 3)).collect())
    }
}

fn manifest_of(entries: &Entries, revision: u64) -> Manifest {
    let rollouts: BTreeMap<u8, u8> = entries.0.iter().copied().collect();
    let rollouts = rollouts.into_iter().map(|(a, b)| rollout(a.into(), &format!("v{b}")));
    Manifest { revision: Revision(revision), rollouts: rollouts.collect(), ..Manifest::default() }
}

fn vms_of(entries: &Entries, revision: u64) -> VmList {
    let vms: BTreeMap<u8, u8> = entries.0.iter().copied().collect();
    let vm = |(a, b): (u8, u8)| Vm {
        id: id(&format!("vm-{a:03}")),
        zone: id(&format!("zone-{b}")),
        region: id("region"),
        role: Role::Model,
        state: VmState::Live,
        control: ([127, 0, 0, 1], 1).into(),
        data: ([127, 0, 0, 1], 2).into(),
    };
    VmList { revision: Revision(revision), vms: vms.into_iter().map(vm).collect() }
}

#[test]
fn applying_a_delta_gives_the_next_document() {
    fn delta_applies(old: Entries, new: Entries) -> bool {
        let (a, b) = (manifest_of(&old, 1), manifest_of(&new, 2));
        let delta = a.delta(&b, Digest::of(b""));
        let (v, w) = (vms_of(&old, 1), vms_of(&new, 2));
        let vms_delta = v.delta(&w, Digest::of(b""));
        let decoded = serde_json::from_slice(&serde_json::to_vec(&delta).unwrap()).unwrap();
        a.apply(&delta) == b && v.apply(&vms_delta) == w && delta == decoded
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(30, 1))
        .tests(200)
        .quickcheck(delta_applies as fn(Entries, Entries) -> bool);
}
