//! Reserved idempotency keys, each bound to one incarnation of one agent.

use std::{fmt, str::FromStr};

use base::{Incarnation, VmId};

/// First part of the text form.
const PREFIX: &str = "reserved";

/// An idempotency key that only one incarnation of one agent accepts.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Reservation {
    /// The agent's VM.
    pub vm: VmId,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The agent's clock when the key was issued, in milliseconds.
    pub stamp: u64,
    /// Random part that makes the key unique.
    pub nonce: u128,
}

/// Error of parsing a text that is not a reservation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the key is not a reservation; take one from POST /SERVICE/_keys")]
pub struct ReservationError;

impl fmt::Display for Reservation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Reservation { vm, incarnation, stamp, nonce } = self;
        write!(f, "{PREFIX}+{vm}+{incarnation}+{stamp}+{nonce:032x}")
    }
}

impl FromStr for Reservation {
    type Err = ReservationError;

    fn from_str(s: &str) -> Result<Reservation, ReservationError> {
        let rest =
            s.strip_prefix(PREFIX).and_then(|s| s.strip_prefix('+')).ok_or(ReservationError)?;
        // The VM's id may contain the separator; the other parts do not.
        let mut parts = rest.rsplitn(4, '+');
        let mut next = || parts.next().ok_or(ReservationError);
        let nonce = u128::from_str_radix(next()?, 16).map_err(|_| ReservationError)?;
        let stamp = next()?.parse().map_err(|_| ReservationError)?;
        let incarnation = next()?.parse().map_err(|_| ReservationError)?;
        let vm = next()?.parse().map_err(|_| ReservationError)?;
        Ok(Reservation { vm, incarnation, stamp, nonce })
    }
}

#[cfg(test)]
mod tests;
