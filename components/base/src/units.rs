//! Sizes, rates and durations with their units.

use std::{fmt, str::FromStr, time::Duration};

use bytesize::ByteSize as HumanByteSize;

/// Error for a value that is malformed, or whose unit is missing or unknown.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ParseUnitError {
    /// Invalid size.
    #[error("size {0:?} is not valid: write a number and a unit, as in 64MiB")]
    Size(String),
    /// Invalid byte rate.
    #[error("rate {0:?} is not valid: write a size per second, as in 200MB/s")]
    ByteRate(String),
    /// Invalid event rate.
    #[error("rate {0:?} is not valid: write a number per second, as in 200/s")]
    Rate(String),
    /// Invalid share.
    #[error("share {0:?} is not valid: write a percentage from 0% to 100%, as in 12.5%")]
    Share(String),
    /// Invalid duration.
    #[error("duration {0:?} is not valid: write a number and a unit, as in 30s")]
    Duration(String),
}

/// Implements serde for a type through its `Display` and `FromStr`.
macro_rules! serde_as_text {
    ($name:ident) => {
        impl serde::Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> serde::Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                String::deserialize(d)?.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

/// A number of bytes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteSize(pub u64);

/// A rate in bytes per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ByteRate(pub u64);

/// A rate in events per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub struct Rate(pub f64);

/// A fraction of a whole in thousandths. Its text form is a percentage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Permille(pub u32);

/// A duration. Its text form has units, as in `30s`.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timeout(pub Duration);

serde_as_text!(ByteSize);
serde_as_text!(ByteRate);
serde_as_text!(Rate);
serde_as_text!(Permille);
serde_as_text!(Timeout);

impl ByteRate {
    /// Returns how long a transfer of `size` takes at this rate.
    pub fn time_for(self, size: ByteSize) -> Duration {
        Duration::from_secs_f64(size.0 as f64 / self.0.max(1) as f64)
    }
}

impl Permille {
    /// The whole: 100%.
    pub const WHOLE: Permille = Permille(1000);

    /// Returns the value as a fraction of one.
    pub fn fraction(self) -> f64 {
        f64::from(self.0) / 1000.0
    }
}

impl fmt::Display for ByteSize {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        const UNITS: [(u64, &str); 6] = [
            (1 << 30, "GiB"),
            (1_000_000_000, "GB"),
            (1 << 20, "MiB"),
            (1_000_000, "MB"),
            (1 << 10, "KiB"),
            (1_000, "KB"),
        ];
        let unit = UNITS.iter().find(|(size, _)| self.0 != 0 && self.0.is_multiple_of(*size));
        match unit {
            Some((size, name)) => write!(f, "{}{name}", self.0 / size),
            None => write!(f, "{}B", self.0),
        }
    }
}

impl FromStr for ByteSize {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, ParseUnitError> {
        let bad = || ParseUnitError::Size(s.to_owned());
        if !s.ends_with(['B', 'b']) {
            return Err(bad());
        }
        let size: HumanByteSize = s.parse().map_err(|_| bad())?;
        Ok(ByteSize(size.as_u64()))
    }
}

impl fmt::Display for ByteRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", ByteSize(self.0))
    }
}

impl FromStr for ByteRate {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, ParseUnitError> {
        let bad = || ParseUnitError::ByteRate(s.to_owned());
        let size = s.strip_suffix("/s").ok_or_else(bad)?;
        let size: ByteSize = size.parse().map_err(|_| bad())?;
        Ok(ByteRate(size.0))
    }
}

impl fmt::Display for Rate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/s", self.0)
    }
}

impl FromStr for Rate {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, ParseUnitError> {
        let number = s.strip_suffix("/s").and_then(|n| n.trim().parse::<f64>().ok());
        match number {
            Some(n) if n.is_finite() && n >= 0.0 => Ok(Rate(n)),
            _ => Err(ParseUnitError::Rate(s.to_owned())),
        }
    }
}

impl fmt::Display for Permille {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}%", f64::from(self.0) / 10.0)
    }
}

impl FromStr for Permille {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, ParseUnitError> {
        let number = s.strip_suffix('%').and_then(|n| n.trim().parse::<f64>().ok());
        match number {
            Some(n) if (0.0..=100.0).contains(&n) => Ok(Permille((n * 10.0).round() as u32)),
            _ => Err(ParseUnitError::Share(s.to_owned())),
        }
    }
}

impl fmt::Display for Timeout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", humantime::format_duration(self.0))
    }
}

impl FromStr for Timeout {
    type Err = ParseUnitError;

    fn from_str(s: &str) -> Result<Self, ParseUnitError> {
        humantime::parse_duration(s)
            .map(Timeout)
            .map_err(|_| ParseUnitError::Duration(s.to_owned()))
    }
}

#[cfg(test)]
mod tests;
