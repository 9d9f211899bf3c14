//! A machine freezes between the check of its staged pieces and the order to load them, and a piece turns bad
//! meanwhile.

use std::{
    io,
    path::Path,
    thread,
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    fleet::Fleet,
    process::{SIGCONT, SIGSTOP},
    record::Record,
    weights::PIECES,
};

/// Machines beside runners. One of all nine freezes.
const SIDES: u8 = 7;
/// Short enough that gateways use all runners.
const REQUEST_INTERVAL: Duration = Duration::from_millis(15);
const FROZEN: Duration = Duration::from_secs(4);
/// Time from the begin of the freeze until a piece turns bad.
const ROT_DELAY: Duration = Duration::from_millis(200);
/// Time for the answer to the last read of a piece to arrive.
const ANSWER_TIME: Duration = Duration::from_millis(5);
const TIME_AFTER: Duration = Duration::from_secs(8);

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let fleet = Fleet::start(dir, SIDES, record)?;
    let load = fleet.load(REQUEST_INTERVAL);
    thread::sleep(Duration::from_secs(3));
    fleet.name_version(2);
    // The first machine that has checked all of its pieces freezes.
    let is_checked = || fleet.engines.iter().position(|e| e.checked_count() >= PIECES);
    let checked = wait_for(is_checked)?;
    thread::sleep(ANSWER_TIME);
    let (process, engine) = (&fleet.processes[checked], &fleet.engines[checked]);
    if trouble {
        process.signal(SIGSTOP);
        record.line(format!("freeze   {} stands still", process.name));
        thread::sleep(ROT_DELAY);
        engine.spoil(0);
        thread::sleep(FROZEN - ROT_DELAY);
        process.signal(SIGCONT);
        record.line(format!("freeze   {} goes on", process.name));
    }
    thread::sleep(TIME_AFTER);
    let sent = load.stop().len();
    let tokens = fleet.engines.iter().map(|engine| engine.spoilt_runs()).sum::<u32>();
    record.line(format!("seen     {sent} requests sent, {tokens} ran on spoilt weights"));
    Ok(if tokens > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Waits until `check` finds something.
fn wait_for<T>(check: impl Fn() -> Option<T>) -> io::Result<T> {
    let until = Instant::now() + Duration::from_secs(15);
    while Instant::now() < until {
        if let Some(found) = check() {
            return Ok(found);
        }
        thread::sleep(Duration::from_millis(1));
    }
    Err(io::Error::other("no machine checks its staged pieces"))
}
