//! `carawaypaddle audit`.

use std::time::Duration;

use anyhow::Context;
use audit::{AuditEntry, AuditPage};
use proto::PeerClient;

use crate::{cli::Target, cmd::remote::Remote};

/// Pause between requests with `--follow`.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the audit trail of a process.
pub fn run(target: &Target, follow: bool) -> anyhow::Result<()> {
    let remote = Remote::new(target)?;
    let mut from = 0;
    loop {
        let page: AuditPage = remote
            .peers
            .call_blocking(target.addr, move |client| async move { client.audit(from).await })
            .with_context(|| {
                format!("{}: no response; check the address and the peer key", target.addr)
            })?;
        if page.lost > 0 && from > 0 {
            eprintln!("{} audit entries were dropped before they could be read", page.lost);
        }
        for entry in &page.entries {
            print_entry(entry, target.json)?;
        }
        from = page.next;
        if !follow {
            return Ok(());
        }
        std::thread::sleep(FOLLOW_INTERVAL);
    }
}

fn print_entry(entry: &AuditEntry, json: bool) -> anyhow::Result<()> {
    if json {
        println!("{}", serde_json::to_string(entry)?);
        return Ok(());
    }
    println!(
        "seq={} time_ms={} revision={} kind={} subject={:?} cause={:?}",
        entry.seq,
        entry.time_ms,
        entry.revision,
        entry.change.kind(),
        entry.change.subject(),
        entry.cause
    );
    Ok(())
}
