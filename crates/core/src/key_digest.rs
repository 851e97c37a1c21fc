//! Digest of a customer key, the only form in which keys are stored.

use std::fmt::{Debug, Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::ParseError;

const DIGEST_LEN: usize = 32;

/// SHA-256 of a customer key.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyDigest([u8; DIGEST_LEN]);

impl KeyDigest {
    /// Digests a customer key.
    pub fn of(secret: &[u8]) -> Self {
        Self(Sha256::digest(secret).into())
    }

    /// Compares in constant time, so that the duration reveals nothing about the key.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Display for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl Debug for KeyDigest {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "KeyDigest({self})")
    }
}

impl FromStr for KeyDigest {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("key digest", text, "64 hexadecimal digits");
        let digits = match text.len() {
            len if len == 2 * DIGEST_LEN && text.is_ascii() => text,
            _ => return Err(error()),
        };
        let mut digest = [0; DIGEST_LEN];
        for (index, byte) in digest.iter_mut().enumerate() {
            let pair = &digits[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(digest))
    }
}

impl Serialize for KeyDigest {
    fn serialize<S: Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
        target.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for KeyDigest {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        String::deserialize(source)?.parse().map_err(de::Error::custom)
    }
}
