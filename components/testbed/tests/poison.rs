//! A request that crashes endpoints is quarantined after a few crashes; other requests succeed.

use std::time::Duration;

use base::ByteSize;
use testbed::{CallResult, Caller, Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of crashes that one request may cause.
const MAX_CRASHES: u32 = 3;
const ENTRIES: usize = 3;

fn start(agents: usize) -> Testbed {
    let settings = TestbedSettings { agents, entries: ENTRIES, ..TestbedSettings::default() };
    let mut bed = Testbed::start(settings).unwrap();
    let weights = Weights::generate("v1", ByteSize(256 << 10), ByteSize(64 << 10), 1);
    bed.add_version(&weights);
    bed.roll_out("v1", agents, 1);
    bed.wait_until("rollout", TIMEOUT, |bed| bed.serving_count("base@v1") == agents).unwrap();
    bed.wait_until("endpoints", TIMEOUT, |bed| {
        bed.entries.iter().all(|(_, entry)| {
            let status = bed.status(entry.control()).unwrap();
            status.endpoints.iter().filter(|row| row.state == "ready").count() == agents
        })
    })
    .unwrap();
    bed
}

fn crashes(bed: &Testbed) -> u32 {
    bed.agents.iter().filter_map(|slot| slot.engine.as_ref()).map(|e| e.counts().crashes).sum()
}

#[test]
fn a_poison_request_through_all_entries_crashes_few_endpoints_and_affects_no_other() {
    let mut bed = start(6);
    let innocent = |n: usize| {
        let entry = bed.caller_addr(n % ENTRIES);
        move || {
            let caller = Caller::default();
            (0..6).map(|k| caller.chat(entry, &format!("innocent {n} {k}"), 60)).collect()
        }
    };
    let threads: Vec<std::thread::JoinHandle<Vec<CallResult>>> =
        (0..12).map(|n| std::thread::spawn(innocent(n))).collect();
    let caller = Caller::default();
    for n in 0..12 {
        let answer = caller.chat(bed.caller_addr(n % ENTRIES), "CRASH", 10);
        let refused = matches!(&answer, CallResult::Refused { .. } | CallResult::Cut);
        assert!(refused, "a poison request has no answer: {answer:?}");
    }
    let last = caller.chat(bed.caller_addr(0), "CRASH", 10);
    assert_eq!(last, CallResult::Refused { status: 422, outcome: "not-run".into() });
    assert!(crashes(&bed) <= MAX_CRASHES, "{} crashes", crashes(&bed));
    let whole = CallResult::Whole { release: "base@v1".into() };
    for thread in threads {
        for answer in thread.join().unwrap() {
            let quarantined = bed.status(bed.entries[0].1.control()).unwrap().quarantined;
            assert_eq!(answer, whole, "quarantined: {quarantined:?}");
        }
    }
    for (_, entry) in &bed.entries {
        let status = bed.status(entry.control()).unwrap();
        assert_eq!(status.quarantined.len(), 1, "only the poison request");
    }
    bed.stop();
}
