//! All machines lose power, and after that the origin spoils one character of one manifest.

use std::{io, path::Path, sync::atomic::Ordering::SeqCst, thread, time::Duration};

use crate::{
    Verdict,
    fleet::Fleet,
    load::{Attempt, Seen},
    process::wait_until,
    record::Record,
};

const SIDES: u8 = 4;
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time for which requests are served before the final fault.
const TIME_BEFORE: Duration = Duration::from_secs(8);
pub(super) const DOWN_TIME: Duration = Duration::from_millis(1200);
pub(super) const RECOVERY_MS: u64 = 12_000;
/// Time for which requests are counted after the bound on recovery.
const TIME_AFTER: Duration = Duration::from_secs(45);
/// Share of requests that has to be served after the bound.
const MIN_SHARE: f64 = 0.25;

pub fn play(dir: &Path, trouble: bool, record: &Record) -> io::Result<Verdict> {
    let mut fleet = Fleet::start(dir, SIDES, record)?;
    let load = fleet.load(REQUEST_INTERVAL);
    thread::sleep(Duration::from_secs(2));
    fleet.name_version(2);
    if !wait_until(Duration::from_secs(10), || fleet.loaded_count(2) == fleet.engines.len()) {
        return Err(io::Error::other("version 2 is not loaded"));
    }
    thread::sleep(TIME_BEFORE);

    let newer = fleet.config.replacen("\"version\":1", "\"version\":2", 1);
    fleet.store.put("op/config", Some(&newer));
    let fault_ms = record.now();
    record.line("power    all machines lose power, right after a configuration was acknowledged");
    fleet.kill_processes();
    for (n, engine) in fleet.engines.iter().enumerate() {
        engine.lose_power(&format!("i-talk{}", fleet.engines.len() + n));
    }
    thread::sleep(DOWN_TIME);
    fleet.origin.corrupts_next.store(trouble, SeqCst);
    fleet.origin.answers.store(0, SeqCst);
    fleet.start_processes()?;
    let back_ms = record.now();
    record.line("power    all machines are back");
    thread::sleep(Duration::from_millis(RECOVERY_MS) + TIME_AFTER);
    let attempts = load.stop();
    record.line(format!(
        "seen     {} of {SIDES} runners hold version 2; the origin gave {} answers since",
        fleet.loaded_count(2),
        fleet.origin.answers.load(SeqCst)
    ));
    Ok(judge(&attempts, fault_ms, back_ms, record))
}

/// The rule is broken if less than a quarter of the requests is served later than the bound after the machines
/// are back, though a quarter or more was before the final fault.
pub(super) fn judge(attempts: &[Attempt], fault_ms: u64, back_ms: u64, record: &Record) -> Verdict {
    let share = |word: &str, is_counted: &dyn Fn(&Attempt) -> bool| {
        let counted: Vec<&Attempt> = attempts.iter().filter(|a| is_counted(a)).collect();
        let served = counted.iter().filter(|a| a.seen == Seen::Status(200)).count();
        record.line(format!("seen     {served} of {} requests served {word}", counted.len()));
        served as f64 / counted.len().max(1) as f64
    };
    let before = share("before the final fault", &|a| a.ended_ms < fault_ms);
    let after = share("later than the bound after it", &|a| a.sent_ms > back_ms + RECOVERY_MS);
    match before >= MIN_SHARE && after < MIN_SHARE {
        true => Verdict::Broken,
        false => Verdict::Held,
    }
}
