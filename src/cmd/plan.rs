//! `carawaypaddle plan`.

use std::path::Path;

use anyhow::Context;
use manifest::{Manifest, VmList};
use placement::{Placement, place};
use serde_json::json;

use crate::cmd::check;

/// Prints which VM would serve what, and each workspace's share.
pub fn run(manifest: &Path, vms: &Path, as_json: bool) -> anyhow::Result<()> {
    let manifest = check::load_manifest(manifest)?;
    let name = vms.display();
    let text = std::fs::read(vms)
        .with_context(|| format!("{name}: cannot be read; check the path and its permissions"))?;
    let vms: VmList = serde_norway::from_slice(&text)
        .with_context(|| format!("{name}: is not a VM list; write revision and vms"))?;
    let placement = place(&manifest, &vms);
    let model_vms = vms.live_model_vms().count();
    if as_json {
        println!("{}", to_json(&manifest, &placement, model_vms));
    } else {
        print_table(&manifest, &placement, model_vms);
    }
    Ok(())
}

/// Counts the VMs that the rollouts of a workspace get.
fn placed_vms(manifest: &Manifest, placement: &Placement, workspace: &base::WorkspaceId) -> usize {
    let rollouts = manifest.rollouts.iter().filter(|r| r.workspace == *workspace);
    rollouts.map(|r| placement.vms_of(&r.id).len()).sum()
}

fn to_json(manifest: &Manifest, placement: &Placement, model_vms: usize) -> serde_json::Value {
    let rollouts = manifest.rollouts.iter().map(
        |r| json!({ "rollout": r.id, "replicas": r.replicas, "vms": placement.vms_of(&r.id) }),
    );
    let workspaces = manifest.workspaces.iter().map(
        |w| json!({ "workspace": w.id, "share": w.share, "vms": placed_vms(manifest, placement, &w.id) }),
    );
    json!({
        "vms": model_vms,
        "rollouts": rollouts.collect::<Vec<_>>(),
        "workspaces": workspaces.collect::<Vec<_>>(),
    })
}

fn print_table(manifest: &Manifest, placement: &Placement, model_vms: usize) {
    println!("{:<24} {:>6} {:>6}  VMS", "ROLLOUT", "WANTED", "PLACED");
    for rollout in &manifest.rollouts {
        let vms = placement.vms_of(&rollout.id);
        let names: Vec<&str> = vms.iter().map(|vm| vm.as_str()).collect();
        println!(
            "{:<24} {:>6} {:>6}  {}",
            rollout.id.as_str(),
            rollout.replicas,
            vms.len(),
            names.join(" ")
        );
    }
    println!("\n{:<24} {:>6} {:>6} of {model_vms}", "WORKSPACE", "SHARE", "VMS");
    for workspace in &manifest.workspaces {
        let used = placed_vms(manifest, placement, &workspace.id);
        println!("{:<24} {:>6} {used:>6}", workspace.id.as_str(), workspace.share.to_string());
    }
}
