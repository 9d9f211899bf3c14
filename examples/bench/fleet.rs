//! `bench fleet`: placement, documents and gossip at the largest supported fleet size.

use std::{
    collections::HashSet,
    path::PathBuf,
    time::{Duration, Instant},
};

use base::{
    ByteSize, Digest, Incarnation, Permille, Rate, ReleaseId, Revision, RolloutId, Timeout, VmId,
    rendezvous_order,
};
use gossip::{Documents, Members, MembersSettings};
use lexopt::Arg;
use manifest::{
    Manifest, Model, Role, Rollout, Service, ServiceKind, Version, VersionRef, Vm, VmList, VmState,
    Workspace,
};
use placement::{InputsFingerprint, Placement, place};
use proto::{
    DocumentKind, DocumentReply, DocumentRequest, Gossip, MemberState, TrialOutcome, Verdict,
};

use crate::{report::Report, spread};

/// Number of VMs with a model engine.
const AGENTS: usize = 12_000;
/// Number of entries.
const ENTRIES: usize = 960;
/// Number of availability zones.
const ZONES: usize = 19;
/// Number of changes over which the moves are averaged.
const CHANGES: usize = 20;

/// Runs the measurements.
pub fn run(mut parser: lexopt::Parser) -> anyhow::Result<bool> {
    let mut json: Option<PathBuf> = None;
    while let Some(arg) = parser.next()? {
        match arg {
            Arg::Long("json") => json = Some(parser.value()?.into()),
            other => return Err(other.unexpected().into()),
        }
    }
    let mut report = Report::default();
    for (rollouts, replicas) in [(2280, 5), (2400, 5), (20, 560)] {
        measure_placement(&mut report, rollouts, replicas);
    }
    measure_documents(&mut report)?;
    measure_gossip(&mut report);
    spread::measure(&mut report)?;
    if let Some(file) = json {
        report.write_json(&file)?;
    }
    Ok(true)
}

/// Parses an id that is known to be valid.
pub fn id<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("ids of the benchmark are valid")
}

fn vm(i: usize) -> Vm {
    let role = if i < AGENTS { Role::Model } else { Role::Entry };
    Vm {
        id: id(&format!("vm-{i:05}")),
        zone: id(&format!("zone-{:02}", i % ZONES)),
        region: id(&format!("region-{}", i % ZONES % 8)),
        role,
        state: VmState::Live,
        control: ([10, 0, (i / 250) as u8, (i % 250) as u8], 7000).into(),
        data: ([10, 0, (i / 250) as u8, (i % 250) as u8], 7001).into(),
    }
}

fn full_vm_list() -> VmList {
    vms(AGENTS + ENTRIES)
}

/// Returns a list of `count` VMs.
pub fn vms(count: usize) -> VmList {
    VmList { revision: Revision(1), vms: (0..count).map(vm).collect() }
}

fn rollout(i: usize, replicas: usize) -> Rollout {
    Rollout {
        id: id(&format!("rollout-{i:05}")),
        service: id("assistant"),
        workspace: id(&format!("workspace-{:03}", i % 400)),
        model: VersionRef { id: id("base"), version: id("v1") },
        adapter: None,
        replicas,
        floor: replicas - 1,
        canary: 1,
        soak: Timeout(Duration::from_secs(5)),
        order: 0,
        regions: Vec::new(),
        avoid: Vec::new(),
    }
}

/// Returns a manifest with 400 workspaces.
pub fn manifest(rollouts: usize, replicas: usize) -> Manifest {
    let workspace = |i| Workspace {
        id: id(&format!("workspace-{i:03}")),
        share: Permille(2),
        requests: Rate(130.0),
        queue: 64,
        keys: vec![Digest::of(format!("key-{i}").as_bytes())],
    };
    let version = |name: &str| Version {
        id: id(name),
        size: ByteSize(16 << 30),
        chunks: Digest::of(name.as_bytes()),
    };
    Manifest {
        revision: Revision(1),
        workspaces: (0..400).map(workspace).collect(),
        services: vec![Service {
            id: id("assistant"),
            kind: ServiceKind::Model,
            unrepeatable: Vec::new(),
        }],
        models: vec![Model { id: id("base"), versions: vec![version("v1"), version("v2")] }],
        rollouts: (0..rollouts).map(|i| rollout(i, replicas)).collect(),
        ..Manifest::default()
    }
}

/// The naive placement to compare with: each rollout in turn takes the best VMs that are still
/// free.
fn greedy(manifest: &Manifest, vms: &VmList) -> Vec<(VmId, RolloutId)> {
    let mut taken: HashSet<&VmId> = HashSet::new();
    let mut placed = Vec::new();
    for rollout in &manifest.rollouts {
        let free = vms.live_model_vms().filter(|vm| !taken.contains(&vm.id));
        let order = rendezvous_order(rollout.id.as_str().as_bytes(), free, |vm| vm.id.as_str());
        for vm in order.into_iter().take(rollout.replicas) {
            taken.insert(&vm.id);
            placed.push((vm.id.clone(), rollout.id.clone()));
        }
    }
    placed.sort();
    placed
}

/// Counts the VMs that get a rollout which they did not have before.
fn moves(before: &Placement, after: &Placement) -> usize {
    let pairs = after.rollouts().flat_map(|(rollout, vms)| vms.iter().map(move |vm| (rollout, vm)));
    pairs.filter(|(rollout, vm)| before.rollout_of(vm) != Some(rollout)).count()
}

/// Counts the moves between two naive placements.
fn greedy_moves(before: &[(VmId, RolloutId)], after: &[(VmId, RolloutId)]) -> usize {
    after.iter().filter(|pair| before.binary_search(pair).is_err()).count()
}

/// Measures the time of a placement and the moves that small changes cause.
fn measure_placement(report: &mut Report, rollouts: usize, replicas: usize) {
    let (manifest, list) = (manifest(rollouts, replicas), full_vm_list());
    let start = Instant::now();
    let before = place(&manifest, &list);
    let millis = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    let greedy_before = greedy(&manifest, &list);
    let greedy_millis = start.elapsed().as_secs_f64() * 1e3;
    let start = Instant::now();
    let inputs = InputsFingerprint::of(&manifest, &list);
    let inputs_millis = start.elapsed().as_secs_f64() * 1e3;
    assert_eq!(inputs, InputsFingerprint::of(&manifest, &list));
    let changes =
        [("dead_vm", CHANGES), ("one_replica_more", CHANGES), ("one_rollout_less", CHANGES)];
    for (change, times) in changes {
        let (mut moved, mut most, mut greedy_moved) = (0, 0, 0);
        for n in 0..times {
            let (mut manifest, mut list) = (manifest.clone(), list.clone());
            let i = n * 7 % manifest.rollouts.len();
            match change {
                "dead_vm" => drop(list.vms.remove(n * 599)),
                "one_replica_more" => manifest.rollouts[i].replicas += 1,
                _ => drop(manifest.rollouts.remove(i)),
            }
            let count = moves(&before, &place(&manifest, &list));
            moved += count;
            most = most.max(count);
            if n == 0 {
                greedy_moved = greedy_moves(&greedy_before, &greedy(&manifest, &list));
            }
        }
        report.line(
            "placement",
            &[
                ("rollouts", rollouts.into()),
                ("replicas", replicas.into()),
                ("change", change.into()),
                ("moves_mean", (moved as f64 / times as f64).into()),
                ("moves_most", most.into()),
                ("naive_moves", greedy_moved.into()),
                ("millis", millis.into()),
                ("naive_millis", greedy_millis.into()),
                ("inputs_millis", inputs_millis.into()),
            ],
        );
    }
}

/// Measures the size and time of a change against those of the whole document.
fn measure_documents(report: &mut Report) -> anyhow::Result<()> {
    let mut manifest = manifest(2400, 5);
    let mut vms = full_vm_list();
    let (mut sender, mut receiver) = (Documents::default(), Documents::default());
    for documents in [&mut sender, &mut receiver] {
        documents.offer(DocumentKind::Manifest, manifest.to_text().as_bytes());
        documents.offer(DocumentKind::Vms, vms.to_text().as_bytes());
    }
    manifest.rollouts[7].model.version = id("v2");
    manifest.revision = Revision(2);
    vms.vms[7].state = VmState::Leaving;
    vms.revision = Revision(2);
    let texts = [
        ("manifest", DocumentKind::Manifest, manifest.to_text()),
        ("vms", DocumentKind::Vms, vms.to_text()),
    ];
    for (name, kind, text) in texts {
        let start = Instant::now();
        sender.offer(kind, text.as_bytes());
        let whole_millis = start.elapsed().as_secs_f64() * 1e3;
        let reply = sender.reply(&DocumentRequest { kind, have: Revision(1) });
        anyhow::ensure!(!matches!(reply, DocumentReply::Whole(_)), "{name}: not sent as changes");
        let bytes = serde_json::to_vec(&reply)?.len();
        let start = Instant::now();
        let taken = receiver.offer_reply(kind, reply);
        let delta_millis = start.elapsed().as_secs_f64() * 1e3;
        anyhow::ensure!(matches!(taken, gossip::OfferResult::Accepted(_)), "{name}: {taken:?}");
        report.line(
            "document",
            &[
                ("name", name.into()),
                ("whole_bytes", text.len().into()),
                ("change_bytes", bytes.into()),
                ("whole_millis", whole_millis.into()),
                ("change_millis", delta_millis.into()),
            ],
        );
    }
    Ok(())
}

/// Returns the state of one member.
pub fn member(i: usize) -> proto::Member {
    let release: ReleaseId = id("assistant-large@2026-11-03.4+fiji@2026-11-02.1");
    proto::Member {
        vm: id(&format!("vm-{i:05}")),
        incarnation: Incarnation(1_796_331_356_389),
        state: MemberState::Alive,
        beat: 17,
        serving: Some(release.clone()),
        wants: Some(release.clone()),
        manifest: Revision(1),
        verdict: Some(Verdict { release, outcome: TrialOutcome::Passed }),
    }
}

/// Measures the largest gossip message and the time of a membership tick.
fn measure_gossip(report: &mut Report) {
    let now = Instant::now();
    let me: VmId = id("vm-00000");
    let mut members = Members::new(me.clone(), Incarnation(1), MembersSettings::default());
    members.set_rollout_vms((0..560).map(|i| id(&format!("vm-{i:05}"))));
    members.merge((1..AGENTS + ENTRIES).map(member).collect(), now);
    let mut most = 0;
    for i in 1..500 {
        let to: VmId = id(&format!("vm-{i:05}"));
        let message = Gossip {
            from: me.clone(),
            incarnation: Incarnation(1_796_331_356_389),
            manifest: Revision(4_000_000),
            vms: Revision(4_000_000),
            vms_age_ms: Some(12_345),
            members: members.updates_for(&to),
        };
        most = most.max(serde_json::to_vec(&message).map_or(0, |text| text.len()));
    }
    let start = Instant::now();
    for _ in 0..1000 {
        members.tick(now);
    }
    let tick_micros = start.elapsed().as_secs_f64() * 1e3;
    report.line(
        "gossip",
        &[
            ("members", (AGENTS + ENTRIES).into()),
            ("message_bytes_most", most.into()),
            ("tick_micros", tick_micros.into()),
        ],
    );
}
