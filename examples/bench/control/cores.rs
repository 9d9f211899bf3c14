//! Slopes of decisions and messages, measured on the state machines alone, without processes.

use std::time::{Duration, Instant};

use anyhow::ensure;
use attempts::{AttemptRequest, Attempts, AttemptsSettings};
use base::{AttemptId, ByteSize, Digest, Incarnation, Revision, VmId};
use chunks::{Action, Plan, Transfer, TransferSettings, VmLocation};
use gossip::{Documents, Members, MembersSettings};
use hdrhistogram::Histogram;
use manifest::{ChunkList, Manifest, Vm};
use placement::{InputsFingerprint, place};
use proto::{DocumentKind, DocumentRequest, Gossip};

use crate::{
    control::host::resident_bytes,
    fit::{Slope, fit},
    fleet::{id, manifest, member, vms},
};

/// Numbers of VMs at which is measured; the constants below likewise for other items.
const VM_COUNTS: [usize; 4] = [1_500, 3_000, 6_000, 12_000];
const ROLLOUT_COUNTS: [usize; 4] = [300, 600, 1_200, 2_400];
const WORKSPACE_COUNTS: [usize; 4] = [50, 100, 200, 400];
const CHUNK_COUNTS: [usize; 4] = [1_000, 2_000, 4_000, 8_000];
const UPDATE_COUNTS: [usize; 4] = [1, 2, 4, 6];
const CHANGE_COUNTS: [usize; 4] = [1, 2, 4, 8];
const ATTEMPT_COUNTS: [usize; 4] = [20_000, 40_000, 80_000, 160_000];
/// Number of runs of a decision, of which the median is used.
const RUNS: usize = 15;

/// Measures all slopes.
pub fn slopes(seed: u64) -> anyhow::Result<Vec<Slope>> {
    let mut rng = fastrand::Rng::with_seed(seed);
    Ok(vec![
        sized("peer_memory", "bytes", "peer", &VM_COUNTS, peer_memory)?,
        sized("vm_memory", "bytes", "VM", &VM_COUNTS, vm_memory)?,
        sized("rollout_memory", "bytes", "rollout", &ROLLOUT_COUNTS, |n| manifest_memory(n, 400))?,
        sized("workspace_memory", "bytes", "workspace", &WORKSPACE_COUNTS, |n| {
            manifest_memory(600, n)
        })?,
        sized("attempt_memory", "bytes", "record", &ATTEMPT_COUNTS, |n| {
            attempt_memory(n, &mut rng)
        })?,
        sized("place_time", "us", "VM", &VM_COUNTS, |n| place_time(2_400, n))?,
        sized("inputs_time", "us", "VM", &VM_COUNTS, inputs_time)?,
        sized("place_rollouts_time", "us", "rollout", &ROLLOUT_COUNTS, |n| place_time(n, 12_000))?,
        sized("list_bytes", "bytes", "VM", &VM_COUNTS, |n| Ok(vms(n).to_text().len() as f64))?,
        sized("manifest_bytes", "bytes", "rollout", &ROLLOUT_COUNTS, |n| {
            Ok(manifest(n, 5).to_text().len() as f64)
        })?,
        sized("delta_bytes", "bytes", "change", &CHANGE_COUNTS, |n| Ok(delta(n)?.0))?,
        sized("delta_time", "us", "rollout", &ROLLOUT_COUNTS, delta_time)?,
        sized(
            "gossip_bytes",
            "bytes",
            "item",
            &UPDATE_COUNTS,
            |n| Ok(gossip_text(n).len() as f64),
        )?,
        sized("gossip_time", "us", "item", &UPDATE_COUNTS, gossip_time)?,
        sized("tick_time", "us", "peer", &VM_COUNTS, tick_time)?,
        sized("plan_time", "us", "VM", &[70, 140, 280, 560], plan_time)?,
        sized("transfer_time", "us", "chunk", &CHUNK_COUNTS, transfer_time)?,
    ])
}

/// Measures at each of `sizes` and fits a line.
fn sized(
    name: &str,
    unit: &str,
    per: &str,
    sizes: &[usize],
    mut measure: impl FnMut(usize) -> anyhow::Result<f64>,
) -> anyhow::Result<Slope> {
    let points: anyhow::Result<Vec<(f64, f64)>> =
        sizes.iter().map(|&size| Ok((size as f64, measure(size)?))).collect();
    Ok(fit(name, unit, per, points?))
}

/// Growth of the resident memory in bytes. The built value is leaked, so that later measurements do
/// not reuse its pages.
fn memory_growth<T>(build: impl FnOnce() -> T) -> anyhow::Result<f64> {
    let before = resident_bytes()?;
    let built = build();
    let grown = resident_bytes()? - before;
    std::mem::forget(built);
    Ok(grown.max(0.0))
}

/// Median time of `work` in microseconds.
fn median_micros(mut work: impl FnMut()) -> anyhow::Result<f64> {
    let mut times = Histogram::<u64>::new(3)?;
    for _ in 0..RUNS {
        let start = Instant::now();
        work();
        times.record(start.elapsed().as_nanos() as u64)?;
    }
    Ok(times.value_at_quantile(0.5) as f64 / 1e3)
}

fn peers(count: usize, now: Instant) -> Members {
    let me: VmId = id("vm-me");
    let mut members = Members::new(me, Incarnation(1), MembersSettings::default());
    members.merge((0..count).map(member).collect(), now);
    members
}

fn peer_memory(count: usize) -> anyhow::Result<f64> {
    memory_growth(|| peers(count, Instant::now()))
}

fn vm_memory(count: usize) -> anyhow::Result<f64> {
    memory_growth(|| {
        let mut documents = Documents::default();
        documents.offer(DocumentKind::Vms, vms(count).to_text().as_bytes());
        documents
    })
}

fn manifest_memory(rollouts: usize, workspaces: usize) -> anyhow::Result<f64> {
    let mut manifest = manifest(rollouts, 5);
    manifest.workspaces.truncate(workspaces);
    for (i, rollout) in manifest.rollouts.iter_mut().enumerate() {
        rollout.workspace = manifest.workspaces[i % workspaces].id.clone();
    }
    let text = manifest.to_text();
    memory_growth(|| {
        let mut documents = Documents::default();
        documents.offer(DocumentKind::Manifest, text.as_bytes());
        documents
    })
}

fn attempt_memory(count: usize, rng: &mut fastrand::Rng) -> anyhow::Result<f64> {
    let now = Instant::now();
    memory_growth(|| {
        let settings = AttemptsSettings { slots: count, ..AttemptsSettings::default() };
        let mut attempts = Attempts::new(Incarnation(1), settings, now);
        for _ in 0..count {
            let request = AttemptRequest {
                attempt: AttemptId(rng.u128(..)),
                incarnation: Incarnation(1),
                release: None,
                deadline: Duration::from_secs(60),
                stamp: Duration::ZERO,
                key: None,
            };
            // The result is ignored: random 128-bit ids do not collide.
            let _ = attempts.try_start(&request, true, None, now);
        }
        attempts
    })
}

fn place_time(rollouts: usize, count: usize) -> anyhow::Result<f64> {
    let (manifest, vms) = (manifest(rollouts, 5), vms(count));
    median_micros(|| drop(std::hint::black_box(place(&manifest, &vms))))
}

/// Time to detect whether the placement has to be computed again.
fn inputs_time(count: usize) -> anyhow::Result<f64> {
    let (manifest, vms) = (manifest(2_400, 5), vms(count));
    median_micros(|| {
        std::hint::black_box(InputsFingerprint::of(&manifest, &vms));
    })
}

/// Bytes of a delta with `count` changes of the manifest, and the changed manifest.
fn delta(count: usize) -> anyhow::Result<(f64, Manifest)> {
    let mut next = manifest(2_400, 5);
    let mut documents = Documents::default();
    documents.offer(DocumentKind::Manifest, next.to_text().as_bytes());
    for rollout in &mut next.rollouts[..count] {
        rollout.model.version = id("v2");
    }
    next.revision = Revision(2);
    documents.offer(DocumentKind::Manifest, next.to_text().as_bytes());
    let request = DocumentRequest { kind: DocumentKind::Manifest, have: Revision(1) };
    let text = serde_json::to_vec(&documents.reply(&request))?;
    ensure!(text.len() < 100_000, "the whole document was sent instead of the changes");
    Ok((text.len() as f64, next))
}

/// Time to apply one change to a manifest with `rollouts` rollouts.
fn delta_time(rollouts: usize) -> anyhow::Result<f64> {
    let first = manifest(rollouts, 5);
    let mut next = first.clone();
    next.rollouts[0].model.version = id("v2");
    next.revision = Revision(2);
    let (mut sender, mut receiver) = (Documents::default(), Documents::default());
    sender.offer(DocumentKind::Manifest, first.to_text().as_bytes());
    receiver.offer(DocumentKind::Manifest, first.to_text().as_bytes());
    sender.offer(DocumentKind::Manifest, next.to_text().as_bytes());
    let reply = sender.reply(&DocumentRequest { kind: DocumentKind::Manifest, have: Revision(1) });
    median_micros(|| {
        receiver.clone().offer_reply(DocumentKind::Manifest, reply.clone());
    })
}

/// Returns a message with updates of `items` members.
pub fn gossip_message(items: usize) -> Gossip {
    Gossip {
        from: id("vm-00000"),
        incarnation: Incarnation(1_796_331_356_389),
        manifest: Revision(4_000_000),
        vms: Revision(4_000_000),
        vms_age_ms: Some(12_345),
        members: (0..items).map(member).collect(),
    }
}

fn gossip_text(items: usize) -> Vec<u8> {
    serde_json::to_vec(&gossip_message(items)).unwrap_or_default()
}

/// Time to parse a message, apply it and serialize the next one, with 12,000 peers.
fn gossip_time(items: usize) -> anyhow::Result<f64> {
    let now = Instant::now();
    let mut members = peers(12_000, now);
    let text = gossip_text(items);
    let to: VmId = id("vm-00001");
    median_micros(|| {
        if let Ok(message) = serde_json::from_slice::<Gossip>(&text) {
            members.merge(message.members, now);
        }
        let reply = members.updates_for(&to);
        drop(std::hint::black_box(serde_json::to_vec(&reply)));
    })
}

fn tick_time(count: usize) -> anyhow::Result<f64> {
    let now = Instant::now();
    let mut members = peers(count, now);
    median_micros(|| members.tick(now))
}

fn locations(count: usize) -> Vec<VmLocation> {
    let location = |vm: Vm| VmLocation { vm: vm.id, zone: vm.zone, region: vm.region };
    vms(count).vms.into_iter().map(location).collect()
}

fn plan_time(count: usize) -> anyhow::Result<f64> {
    let (locations, list) = (locations(count), Digest::of(b"list"));
    median_micros(|| drop(std::hint::black_box(Plan::new(&list, &locations, &locations[0].vm))))
}

/// Time of all decisions of a transfer of `count` chunks among 560 VMs, where each fetch succeeds
/// immediately.
fn transfer_time(count: usize) -> anyhow::Result<f64> {
    let locations = locations(560);
    let digests = (0..count).map(|i| Digest::of(&i.to_be_bytes())).collect();
    let list = ChunkList { chunk_size: ByteSize(16 << 20), digests };
    let plan = Plan::new(&Digest::of(b"list"), &locations, &locations[7].vm);
    median_micros(|| {
        let mut now = Instant::now();
        let settings = TransferSettings::default();
        let mut transfer = Transfer::new(list.clone(), plan.clone(), settings, now);
        while !transfer.is_complete() {
            for action in transfer.poll(now) {
                if let Action::Fetch { chunk, .. } = action {
                    transfer.mark_held(chunk, now);
                }
            }
            now += Duration::from_millis(20);
        }
    })
}
