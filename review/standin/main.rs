//! Plays the cases of this folder that cannot be put as a day of the bench: starts the project's programs
//! and stand-ins for everything around them, checks one rule and writes a record.
//!
//! `standin CASE FOLDER RECORD`, in the repository's root. Exits with 1 if the rule was broken, 0 if it held,
//! and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod balancer;
mod cases;
mod engine;
mod fleet;
mod http;
mod load;
mod process;
mod record;
mod runner;
mod store;
mod weights;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// Number of breaches that are shown; the record has all.
const MAX_SHOWN: usize = 5;

/// What a case found.
pub enum Verdict {
    Held,
    Broken,
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [case, dir, file] = args.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new();
    let result = cases::play(case, &PathBuf::from(dir), trouble, &record);
    let (code, word) = match &result {
        Ok(Verdict::Held) => (0, "held".to_owned()),
        Ok(Verdict::Broken) => (1, "broken".to_owned()),
        Err(err) => (2, format!("not played: {err}")),
    };
    record.line(format!("result   {word}"));
    let text = record.text();
    let with = |word: &'static str| text.lines().filter(move |line| line.contains(word));
    let verdicts = with(" broken ").take(MAX_SHOWN).chain(with(" seen ")).chain(with(" result "));
    verdicts.for_each(|line| println!("{line}"));
    match std::fs::write(file, text) {
        Ok(()) => ExitCode::from(code),
        Err(_) => ExitCode::from(2),
    }
}
