//! `carawaypaddle status`.

use anyhow::Context;
use proto::{PeerClient, Status};

use crate::{cli::Target, cmd::remote::Remote};

/// Prints the status of a process.
pub fn run(target: &Target) -> anyhow::Result<()> {
    let remote = Remote::new(target)?;
    let status = remote
        .peers
        .call_blocking(target.addr, |client| async move { client.status().await })
        .with_context(|| {
            format!("{}: no response; check the address and the peer key", target.addr)
        })?;
    if target.json {
        println!("{}", serde_json::to_string_pretty(&status)?);
    } else {
        print_table(&status);
    }
    Ok(())
}

fn print_table(status: &Status) {
    println!("vm            {}", status.vm);
    println!("role          {}", status.role);
    println!("manifest      revision {}", status.manifest);
    println!("vm list       revision {}", status.vms);
    println!("accepting     {}", status.accepting);
    println!("in flight     {}", status.in_flight);
    println!("origin bytes  {}", status.origin_bytes);
    if let Some(refused) = &status.refused {
        println!("refused       {}", refused.replace('\n', "\n              "));
    }
    if !status.rollouts.is_empty() {
        println!("\n{:<24} {:<32} {:>11} {:>9}", "ROLLOUT", "RELEASE", "READY", "SECONDS");
    }
    for row in &status.rollouts {
        let ready = format!("{}/{}", row.ready, row.wanted);
        let (rollout, release) = (row.rollout.as_str(), row.release.as_str());
        println!("{rollout:<24} {release:<32} {ready:>11} {:>9.1}", row.seconds);
    }
    if !status.endpoints.is_empty() {
        println!("\n{:<24} {:<32} {:>11} {:>9}", "ENDPOINT", "RELEASE", "STATE", "IN FLIGHT");
    }
    for row in &status.endpoints {
        let release = row.release.as_ref().map_or("-", |r| r.as_str());
        println!("{:<24} {release:<32} {:>11} {:>9}", row.vm.as_str(), row.state, row.in_flight);
    }
    for fingerprint in &status.quarantined {
        println!("\nquarantined   {fingerprint}");
    }
}
