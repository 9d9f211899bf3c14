//! SHA-256 digests that name chunks and chunk lists.

use std::{fmt, str::FromStr};

use sha2::{Digest as _, Sha256};

/// A SHA-256 digest; its text form is 64 hexadecimal digits.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Digest(pub [u8; 32]);

/// Error for text that is not a valid digest.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("digest {0:?} is not valid: write the SHA-256 as 64 hexadecimal digits")]
pub struct ParseDigestError(pub String);

impl Digest {
    /// Computes the digest of `data`.
    pub fn of(data: &[u8]) -> Digest {
        Digest(Sha256::digest(data).into())
    }

    /// Returns the first 8 bytes as a number, for messages in which a whole digest is too long.
    pub fn short(&self) -> u64 {
        let [a, b, c, d, e, f, g, h, ..] = self.0;
        u64::from_le_bytes([a, b, c, d, e, f, g, h])
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&hex::encode(self.0))
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Digest({})", &hex::encode(self.0)[..12])
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(s: &str) -> Result<Digest, ParseDigestError> {
        let mut bytes = [0; 32];
        hex::decode_to_slice(s, &mut bytes)
            .map_err(|_| ParseDigestError(s.chars().take(80).collect()))?;
        Ok(Digest(bytes))
    }
}

impl serde::Serialize for Digest {
    fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.collect_str(self)
    }
}

impl<'de> serde::Deserialize<'de> for Digest {
    fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        let s = <std::borrow::Cow<'de, str>>::deserialize(d)?;
        s.parse().map_err(serde::de::Error::custom)
    }
}

#[cfg(test)]
mod tests;
