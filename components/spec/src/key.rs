//! Fingerprints of states.

use std::{
    collections::{BTreeSet, hash_map::DefaultHasher},
    fmt::{Debug, Write},
    hash::Hasher,
    time::{Duration, Instant},
};

/// Fingerprint of a state. It is equal for equivalent states, and for two others with a probability of
/// 2⁻¹²⁸.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Key(u64, u64);

/// Start of the `Debug` output of an `Instant`.
const INSTANT: &str = "Instant { tv_sec: ";
const NANOS: &str = ", tv_nsec: ";
const NANOS_PER_SECOND: i128 = 1_000_000_000;
/// Rounding of time offsets in nanoseconds; closer instants are distinguished only by their order.
const BUCKET: i128 = 100_000_000;

impl Key {
    /// Computes the key of `state` at `now`.
    ///
    /// It covers the derived `Debug` text of the state, and so every field. Times are taken relative
    /// to `now`, as the decision code only compares and subtracts them: each is replaced by its
    /// offset, rounded to `BUCKET`, and its position among all times of the same offset. Offsets
    /// further back than `horizon` count as equal, which is sound if no code looks back further.
    pub(crate) fn of(state: &impl Debug, now: Instant, horizon: Duration) -> Key {
        let text = relative_times(&format!("{state:?}"), now, horizon);
        Key(hash(1, &text), hash(2, &text))
    }
}

fn hash(seed: u8, text: &str) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write_u8(seed);
    hasher.write(text.as_bytes());
    hasher.finish()
}

/// Replaces each instant in `text` by its offset from `now`.
fn relative_times(text: &str, now: Instant, horizon: Duration) -> String {
    let oldest = -(horizon.as_nanos() as i128);
    let now = format!("{now:?}");
    let now = now
        .strip_prefix(INSTANT)
        .and_then(parse_instant)
        .expect("Instant prints its seconds and nanoseconds")
        .0;
    let mut parts = text.split(INSTANT);
    let mut out = parts.next().unwrap_or_default().to_owned();
    let parts: Vec<(i128, &str)> = parts
        .map(|part| parse_instant(part).expect("Instant prints its seconds and nanoseconds"))
        .collect();
    let bucket = |at: i128| (((at - now).max(oldest)) + BUCKET / 2).div_euclid(BUCKET);
    let times: BTreeSet<i128> = parts.iter().map(|(at, _)| *at).collect();
    for (at, rest) in parts {
        let before = times.range(..at).filter(|other| bucket(**other) == bucket(at)).count();
        write!(out, "{}+{before}", bucket(at)).expect("writing to a String cannot fail");
        out.push_str(rest);
    }
    out
}

/// Parses the rest of an instant: its nanoseconds, and the text after it.
fn parse_instant(text: &str) -> Option<(i128, &str)> {
    let (seconds, rest) = text.split_once(NANOS)?;
    let (nanos, rest) = rest.split_once(" }")?;
    let seconds: i128 = seconds.parse().ok()?;
    let nanos: i128 = nanos.parse().ok()?;
    Some((seconds * NANOS_PER_SECOND + nanos, rest))
}

#[cfg(test)]
mod tests;
