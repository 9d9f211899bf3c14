//! Each endpoint serves exactly one version or none, despite superseded rollouts, engine crashes, and
//! two agents for one engine.

use std::time::Duration;

use agent::Agent;
use audit::Change;
use base::{ByteRate, ByteSize};
use manifest::Role;
use settings::{AgentSettings, Fencing};
use standins::EngineSettings;
use testbed::{Testbed, TestbedSettings, Weights};

const TIMEOUT: Duration = Duration::from_secs(40);

fn fleet(agents: usize, settings: TestbedSettings) -> Testbed {
    let mut bed = Testbed::start(TestbedSettings { agents, ..settings }).unwrap();
    for (seed, version) in [(1, "v1"), (2, "v2"), (3, "v3")] {
        let weights = Weights::generate(version, ByteSize(1 << 20), ByteSize(64 << 10), seed);
        bed.add_version(&weights);
    }
    bed
}

/// Number of activations of an incomplete release, over all engines.
fn incomplete_activations(bed: &Testbed) -> u32 {
    bed.agents.iter().map(|s| s.engine.as_ref().unwrap().counts().incomplete_activations).sum()
}

/// Number of engines with a prepared release.
fn prepared_engines(bed: &Testbed) -> usize {
    bed.agents.iter().filter(|s| s.engine.as_ref().unwrap().prepared().is_some()).count()
}

#[test]
fn a_superseded_rollout_stops_and_leaves_no_release_prepared() {
    let link = ByteRate(200_000);
    let mut bed = fleet(3, TestbedSettings { link_rate: link, ..TestbedSettings::default() });
    bed.roll_out("v1", 3, 1);
    bed.wait_until("loading", TIMEOUT, |bed| prepared_engines(bed) == 3).unwrap();
    assert_eq!(bed.serving_count("base@v1"), 0);
    bed.roll_out("v2", 3, 1);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == 3).unwrap();
    assert_eq!((prepared_engines(&bed), incomplete_activations(&bed)), (0, 0));
    let position = |bed: &Testbed, slot: usize, wanted: &dyn Fn(&Change) -> bool| {
        let trail = bed.audit_entries(bed.agents[slot].vm.control).unwrap();
        trail.iter().position(|entry| wanted(&entry.change))
    };
    let superseded =
        |c: &Change| matches!(c, Change::Superseded { release } if release.as_str() == "base@v1");
    let ready =
        |c: &Change| matches!(c, Change::Ready { release } if release.as_str() == "base@v2");
    for slot in 0..3 {
        // The audit entry is written shortly after the engine reports the release.
        bed.wait_until("ready", TIMEOUT, |bed| position(bed, slot, &ready).is_some()).unwrap();
        assert!(position(&bed, slot, &superseded) < position(&bed, slot, &ready));
        assert!(position(&bed, slot, &superseded).is_some());
    }
    bed.manifest.rollouts.clear();
    bed.publish_manifest();
    bed.wait_until("nothing", TIMEOUT, |bed| bed.serving_count("base@v2") == 0).unwrap();
    bed.stop();
}

#[test]
fn an_engine_that_crashes_while_it_loads_or_serves_is_loaded_again() {
    let link = ByteRate(1_000_000);
    let mut bed = fleet(2, TestbedSettings { link_rate: link, ..TestbedSettings::default() });
    bed.roll_out("v1", 2, 1);
    bed.wait_until("loading", TIMEOUT, |bed| prepared_engines(bed) == 2).unwrap();
    bed.agents[0].engine.as_ref().unwrap().crash();
    bed.wait_until("v1", TIMEOUT, |bed| bed.serving_count("base@v1") == 2).unwrap();
    bed.agents[1].engine.as_ref().unwrap().crash();
    assert_eq!(bed.serving_count("base@v1"), 1);
    bed.wait_until("v1 again", TIMEOUT, |bed| bed.serving_count("base@v1") == 2).unwrap();
    assert_eq!(incomplete_activations(&bed), 0);
    bed.stop();
}

/// Starts a second agent for the engine of the first VM, as if it had been replaced without the first
/// agent noticing. Returns the first agent.
fn second_agent(bed: &mut Testbed, fencing: Fencing) -> Agent {
    let endpoint = bed.agents[0].engine.as_ref().unwrap().addr();
    let options = AgentSettings { endpoint, fencing, ..AgentSettings::default() };
    let name = bed.agents[0].vm.id.to_string();
    let (vm, agent) = bed.start_agent(&name, 0, Role::Model, options).unwrap();
    bed.agents[0].vm = vm;
    let old = bed.agents[0].agent.replace(agent).unwrap();
    bed.publish_vms();
    old
}

fn assert_older_agent_steps_down(fencing: bool) {
    let engine = EngineSettings { fencing, ..EngineSettings::default() };
    let mut bed = fleet(2, TestbedSettings { engine, ..TestbedSettings::default() });
    bed.roll_out("v1", 2, 1);
    bed.wait_until("v1", TIMEOUT, |bed| bed.serving_count("base@v1") == 2).unwrap();
    let setting = if fencing { Fencing::Checked } else { Fencing::Ignored };
    let old = second_agent(&mut bed, setting);
    let stepped_down = |bed: &Testbed| {
        let trail = bed.audit_entries(old.control()).unwrap();
        trail.iter().any(|entry| matches!(entry.change, Change::SteppedDown { .. }))
    };
    for version in ["v2", "v3"] {
        bed.roll_out(version, 2, 1);
        let release = format!("base@{version}");
        bed.wait_until(version, TIMEOUT, |bed| bed.serving_count(&release) == 2).unwrap();
    }
    bed.wait_until("step down", TIMEOUT, stepped_down).unwrap();
    assert!(!bed.status(old.control()).unwrap().accepting);
    assert_eq!(incomplete_activations(&bed), 0);
    // The older agent gives no more orders.
    let orders = |bed: &Testbed| bed.audit_entries(old.control()).unwrap().len();
    let before = orders(&bed);
    bed.roll_out("v1", 2, 1);
    bed.wait_until("v1 again", TIMEOUT, |bed| bed.serving_count("base@v1") == 2).unwrap();
    let after = bed.audit_entries(old.control()).unwrap();
    let ordered = |change: &Change| matches!(change, Change::Order { .. });
    assert!(!after[before..].iter().any(|entry| ordered(&entry.change)));
    old.drain();
    old.wait();
    bed.stop();
}

/// The first agent pauses while it loads a version, is replaced, and resumes when the engine serves
/// another version.
fn assert_late_agent_gives_no_orders(fencing: bool) {
    let engine = EngineSettings { fencing, ..EngineSettings::default() };
    let link = ByteRate(400_000);
    let mut bed =
        fleet(2, TestbedSettings { engine, link_rate: link, ..TestbedSettings::default() });
    bed.roll_out("v1", 2, 1);
    // Wait until the order is answered, so that audit entries after the pause are of later orders.
    let ordered = |change: &Change| matches!(change, Change::Order { .. });
    bed.wait_until("loading", TIMEOUT, |bed| {
        let trail = bed.audit_entries(bed.agents[0].vm.control).unwrap();
        trail.iter().any(|entry| ordered(&entry.change))
    })
    .unwrap();
    bed.agents[0].agent.as_ref().unwrap().pause(Duration::from_secs(12));
    let setting = if fencing { Fencing::Checked } else { Fencing::Ignored };
    let old = second_agent(&mut bed, setting);
    bed.roll_out("v2", 2, 1);
    bed.wait_until("v2", TIMEOUT, |bed| bed.serving_count("base@v2") == 2).unwrap();
    let trail = |bed: &Testbed| bed.audit_entries(old.control()).unwrap_or_default();
    let stepped_down = |bed: &Testbed| {
        trail(bed).iter().any(|entry| matches!(entry.change, Change::SteppedDown { .. }))
    };
    bed.wait_until("step down", TIMEOUT, stepped_down).unwrap();
    let entries = trail(&bed);
    let paused = entries.iter().position(|entry| matches!(entry.change, Change::Paused)).unwrap();
    let accepted = |change: &Change| matches!(change, Change::Order { accepted, .. } if *accepted);
    assert!(!entries[paused..].iter().any(|entry| accepted(&entry.change)), "{entries:?}");
    assert_eq!(bed.serving_count("base@v2"), 2);
    assert_eq!((prepared_engines(&bed), incomplete_activations(&bed)), (0, 0));
    old.drain();
    old.wait();
    bed.stop();
}

#[test]
fn an_agent_that_resumes_late_gives_no_accepted_orders_where_fencing_is_checked() {
    assert_late_agent_gives_no_orders(true);
}

#[test]
fn an_agent_that_resumes_late_gives_no_accepted_orders_where_fencing_is_ignored() {
    assert_late_agent_gives_no_orders(false);
}

#[test]
fn the_older_of_two_agents_steps_down_where_fencing_is_checked() {
    assert_older_agent_steps_down(true);
}

#[test]
fn the_older_of_two_agents_steps_down_where_fencing_is_ignored() {
    assert_older_agent_steps_down(false);
}
