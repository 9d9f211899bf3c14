//! All processes are killed right after a version of the weights was named, and while they stage it again, all
//! open connections go silent.

use std::{io, path::Path, thread, time::Duration};

use crate::{
    Verdict,
    cases::recovery::{DOWN_TIME, RECOVERY_MS, judge},
    fleet::Fleet,
    http::silence_all,
    process::wait_until,
    record::Record,
};

const SIDES: u8 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are served before the final fault.
const TIME_BEFORE: Duration = Duration::from_secs(8);
/// Number of pieces that each runner has when the connections go silent.
const STAGED: usize = 12;
/// Time for which requests are counted after the bound on recovery.
const TIME_AFTER: Duration = Duration::from_secs(45);

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(dir, SIDES, record)?;
    let load = fleet.load(REQUEST_INTERVAL);
    thread::sleep(TIME_BEFORE);

    fleet.name_version(2);
    let fault_ms = record.now();
    record.line("killed   all processes, right after the version was acknowledged");
    fleet.kill_processes();
    thread::sleep(DOWN_TIME);
    fleet.start_processes()?;
    let back_ms = record.now();
    record.line("started  all processes");
    let is_staging = || fleet.engines.iter().all(|engine| engine.staged_count(2) >= STAGED);
    if !wait_until(Duration::from_secs(10), is_staging) {
        return Err(io::Error::other("version 2 is not staged"));
    }
    if trouble {
        let count = silence_all();
        record.line(format!(
            "silence  {count} open connections to the store, the origin and runners"
        ));
    }
    thread::sleep(Duration::from_millis(RECOVERY_MS) + TIME_AFTER);
    let attempts = load.stop();
    for engine in &fleet.engines {
        let (held, staged) = (engine.version(), engine.staged_count(2));
        record.line(format!(
            "seen     a runner holds version {held:?}, {staged} pieces of 2 are staged"
        ));
    }
    Ok(judge(&attempts, fault_ms, back_ms, record))
}
