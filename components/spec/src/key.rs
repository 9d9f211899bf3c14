//! Keys that tell states apart.

use std::{
    collections::{BTreeSet, hash_map::DefaultHasher},
    fmt::{Debug, Write},
    hash::Hasher,
    time::{Duration, Instant},
};

/// Names a state: equal for states that behave alike, and of different states equal with a
/// probability of 2⁻¹²⁸.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Key(u64, u64);

/// How derived `Debug` output begins for an `Instant`.
const INSTANT: &str = "Instant { tv_sec: ";
const NANOS: &str = ", tv_nsec: ";
const NANOS_PER_SECOND: i128 = 1_000_000_000;
/// Instants that are closer than this differ in their order only.
const BUCKET: i128 = 100_000_000;

impl Key {
    /// The key of `state` at `now`.
    ///
    /// It covers the derived `Debug` text of the state, and so every field. Times in it count
    /// relative to `now`, as the cores only compare and subtract them: each is replaced by its
    /// offset, rounded to `BUCKET`, and its position among all times of the same offset. Offsets
    /// further back than `horizon` count as equal, which is sound if no core looks back further.
    pub(crate) fn of(state: &impl Debug, now: Instant, horizon: Duration) -> Key {
        let text = relative(&format!("{state:?}"), now, horizon);
        Key(hash(1, &text), hash(2, &text))
    }
}

fn hash(seed: u8, text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u8(seed);
    hasher.write(text.as_bytes());
    hasher.finish()
}

fn relative(text: &str, now: Instant, horizon: Duration) -> String {
    let oldest = -(horizon.as_nanos() as i128);
    let now = format!("{now:?}");
    let now = now.strip_prefix(INSTANT).and_then(nanos).expect("instants print their parts").0;
    let mut parts = text.split(INSTANT);
    let mut out = parts.next().unwrap_or_default().to_owned();
    let parts: Vec<(i128, &str)> =
        parts.map(|part| nanos(part).expect("instants print their parts")).collect();
    let bucket = |at: i128| (((at - now).max(oldest)) + BUCKET / 2).div_euclid(BUCKET);
    let times: BTreeSet<i128> = parts.iter().map(|(at, _)| *at).collect();
    for (at, rest) in parts {
        let before = times.range(..at).filter(|other| bucket(**other) == bucket(at)).count();
        write!(out, "{}+{before}", bucket(at)).expect("text takes all that is written");
        out.push_str(rest);
    }
    out
}

/// Nanoseconds of an instant, and the text after it.
fn nanos(text: &str) -> Option<(i128, &str)> {
    let (seconds, rest) = text.split_once(NANOS)?;
    let (nanos, rest) = rest.split_once(" }")?;
    let seconds: i128 = seconds.parse().ok()?;
    let nanos: i128 = nanos.parse().ok()?;
    Some((seconds * NANOS_PER_SECOND + nanos, rest))
}

#[cfg(test)]
mod tests;
