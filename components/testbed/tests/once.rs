//! Calls that may not be retried run at most once, as counted by the service.

use std::time::Duration;

use manifest::Role;
use settings::{AgentSettings, EndpointKind};
use testbed::{CallResult, Caller, Relay, Testbed, TestbedSettings};

const TIMEOUT: Duration = Duration::from_secs(30);

fn whole() -> CallResult {
    CallResult::Whole { release: String::new() }
}

fn unknown(status: u16) -> CallResult {
    CallResult::Refused { status, outcome: "unknown".into() }
}

/// Starts two entries and plain services, and waits until they are ready.
fn start(settings: TestbedSettings) -> Testbed {
    let bed = Testbed::start(TestbedSettings { agents: 0, entries: 2, ..settings }).unwrap();
    wait_ready(&bed);
    bed
}

/// Waits until each entry lists each endpoint as ready.
fn wait_ready(bed: &Testbed) {
    let count = bed.agents.len();
    bed.wait_until("endpoints", TIMEOUT, |bed| {
        bed.entries.iter().all(|(_, entry)| {
            let status = bed.status(entry.control()).unwrap();
            status.endpoints.iter().filter(|row| row.state == "ready").count() == count
        })
    })
    .unwrap();
}

/// Number of runs of a key or body, over all services.
fn run_count(bed: &Testbed, key: &str) -> u32 {
    let services = bed.agents.iter().filter_map(|slot| slot.plain_service.as_ref());
    services.map(|plain| plain.run_counts().get(key).copied().unwrap_or(0)).sum()
}

#[test]
fn a_reserved_key_runs_once_through_all_entries() {
    let work = Duration::from_millis(300);
    let mut bed =
        start(TestbedSettings { plain_services: 3, call_time: work, ..TestbedSettings::default() });
    let caller = Caller::default();
    let key = caller.reserve_key(bed.caller_addr(0), "orders").unwrap();
    let answers: Vec<CallResult> = std::thread::scope(|scope| {
        let send = |entry: usize| {
            let (caller, key, entry) = (caller.clone(), key.clone(), bed.caller_addr(entry % 2));
            scope.spawn(move || caller.post_order(entry, Some(&key), "two plates"))
        };
        let threads: Vec<_> = (0..6).map(send).collect();
        threads.into_iter().map(|thread| thread.join().unwrap()).collect()
    });
    assert_eq!(answers, vec![whole(); 6]);
    assert_eq!(caller.post_order(bed.caller_addr(1), Some(&key), "two plates"), whole());
    assert_eq!(run_count(&bed, &key), 1);
    let other = caller.post_order(bed.caller_addr(0), Some(&key), "three plates");
    assert_eq!(other, CallResult::Refused { status: 422, outcome: "not-run".into() });
    bed.stop();
}

#[test]
fn a_reserved_key_ends_with_its_agent() {
    let mut bed = start(TestbedSettings { plain_services: 1, ..TestbedSettings::default() });
    let caller = Caller::default();
    let key = caller.reserve_key(bed.caller_addr(0), "orders").unwrap();
    assert_eq!(caller.post_order(bed.caller_addr(0), Some(&key), "two plates"), whole());
    let agent = bed.agents[0].agent.take().unwrap();
    agent.drain();
    agent.wait();
    let options = AgentSettings {
        endpoint: bed.agents[0].plain_service.as_ref().unwrap().addr(),
        kind: EndpointKind::Plain,
        service: "orders".parse().ok(),
        ..AgentSettings::default()
    };
    let role = Role::Plain("orders".parse().unwrap());
    let (vm, agent) = bed.start_agent("plain-0", 0, role, options).unwrap();
    (bed.agents[0].vm, bed.agents[0].agent) = (vm, Some(agent));
    bed.publish_vms();
    wait_ready(&bed);
    for entry in 0..2 {
        let repeated = caller.post_order(bed.caller_addr(entry), Some(&key), "two plates");
        assert_eq!(repeated, unknown(409), "entry {entry}");
    }
    assert_eq!(run_count(&bed, &key), 1);
    bed.stop();
}

#[test]
fn a_callers_own_key_runs_once_through_all_entries() {
    let handover = Duration::ZERO;
    let mut bed =
        start(TestbedSettings { plain_services: 3, handover, ..TestbedSettings::default() });
    let caller = Caller::default();
    for n in 0..8 {
        let key = format!("order-{n}");
        for entry in [0, 1, 0] {
            let answer = caller.post_order(bed.caller_addr(entry), Some(&key), "two plates");
            assert_eq!(answer, whole(), "{key} at entry {entry}");
        }
        assert_eq!(run_count(&bed, &key), 1);
    }
    bed.stop();
}

#[test]
fn an_agent_that_just_started_does_not_run_a_callers_own_key() {
    let mut bed = start(TestbedSettings { plain_services: 1, ..TestbedSettings::default() });
    let caller = Caller::default();
    let answer = caller.post_order(bed.caller_addr(0), Some("order-1"), "two plates");
    assert_eq!(answer, unknown(409));
    assert_eq!(run_count(&bed, "order-1"), 0);
    bed.stop();
}

#[test]
fn a_call_on_a_connection_that_goes_silent_is_answered_and_runs_once() {
    let work = Duration::from_millis(1500);
    let mut bed =
        start(TestbedSettings { plain_services: 2, call_time: work, ..TestbedSettings::default() });
    let relays = add_data_relays(&mut bed);
    let (caller, entry) = (Caller::default(), bed.caller_addr(0));
    let sent = std::thread::spawn(move || caller.post_order(entry, None, "two plates"));
    bed.wait_until("the call", TIMEOUT, |bed| run_count(bed, "two plates") == 1).unwrap();
    relays.iter().for_each(Relay::blackhole);
    assert_eq!(sent.join().unwrap(), whole());
    assert_eq!(run_count(&bed, "two plates"), 1);
    bed.stop();
}

#[test]
fn a_call_whose_endpoint_is_cut_off_is_unknown_and_runs_once() {
    let work = Duration::from_millis(500);
    let mut bed =
        start(TestbedSettings { plain_services: 2, call_time: work, ..TestbedSettings::default() });
    let relays = add_data_relays(&mut bed);
    let (caller, entry) = (Caller::default(), bed.caller_addr(0));
    let sent = std::thread::spawn(move || caller.post_order(entry, None, "two plates"));
    bed.wait_until("the call", TIMEOUT, |bed| run_count(bed, "two plates") == 1).unwrap();
    for relay in &relays {
        relay.set_rejecting(true);
        relay.blackhole();
    }
    let answer = sent.join().unwrap();
    let run = CallResult::Refused { status: 502, outcome: "run".into() };
    assert!(answer == unknown(502) || answer == run, "{answer:?}");
    assert_eq!(run_count(&bed, "two plates"), 1);
    relays.iter().for_each(|relay| relay.set_rejecting(false));
    bed.stop();
}

#[test]
fn a_call_that_never_reached_its_agent_runs_elsewhere() {
    let mut bed = start(TestbedSettings { plain_services: 2, ..TestbedSettings::default() });
    let relays = add_data_relays(&mut bed);
    relays[0].set_rejecting(true);
    let caller = Caller::default();
    for n in 0..20 {
        let body = format!("order {n}");
        let answer = caller.post_order(bed.caller_addr(0), None, &body);
        // Some may be refused once the retry budget is spent; "not-run" is correct for them.
        let refused = CallResult::Refused { status: 503, outcome: "not-run".into() };
        let expected = if answer == whole() { 1 } else { 0 };
        assert!(answer == whole() || answer == refused, "{answer:?}");
        assert_eq!(run_count(&bed, &body), expected, "{answer:?}");
    }
    bed.stop();
}

/// Puts a relay in front of the data address of each agent.
fn add_data_relays(bed: &mut Testbed) -> Vec<Relay> {
    let relays: Vec<Relay> =
        bed.agents.iter().map(|slot| Relay::start(slot.vm.data).unwrap()).collect();
    for (slot, relay) in bed.agents.iter_mut().zip(&relays) {
        slot.vm.data = relay.addr();
    }
    bed.publish_vms();
    wait_for_vm_list(bed);
    relays
}

#[test]
fn control_connections_that_go_silent_are_replaced() {
    let mut bed = start(TestbedSettings { plain_services: 2, ..TestbedSettings::default() });
    let relays: Vec<Relay> =
        bed.agents.iter().map(|slot| Relay::start(slot.vm.control).unwrap()).collect();
    for (slot, relay) in bed.agents.iter_mut().zip(&relays) {
        slot.vm.control = relay.addr();
    }
    bed.publish_vms();
    wait_for_vm_list(&bed);
    let opened = |relays: &[Relay]| relays.iter().map(Relay::connection_count).sum::<u64>();
    bed.wait_until("calls", TIMEOUT, |_| opened(&relays) > 0).unwrap();
    let before = opened(&relays);
    relays.iter().for_each(Relay::blackhole);
    bed.wait_until("new connections", TIMEOUT, |_| opened(&relays) > before).unwrap();
    wait_ready(&bed);
    assert_eq!(Caller::default().post_order(bed.caller_addr(0), None, "after"), whole());
    assert_eq!(run_count(&bed, "after"), 1);
    bed.stop();
}

/// Waits until each entry has the VM list that was last published.
fn wait_for_vm_list(bed: &Testbed) {
    let revision = bed.vms.revision;
    bed.wait_until("list", TIMEOUT, |bed| {
        bed.entries.iter().all(|(_, e)| bed.status(e.control()).unwrap().vms == revision)
    })
    .unwrap();
}
