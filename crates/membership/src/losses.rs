//! Encoded reports of target losses by crash fingerprint, opaque to this crate.

use serde::{Deserialize, Deserializer, Serialize, de};
use snafu::Snafu;

/// Reports of target losses by crash fingerprint, encoded by the caller and bounded in size.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct Losses(Vec<u8>);

/// The encoded losses exceed [`Losses::MAX_BYTES`].
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display(
    "encoded losses have {len} bytes, more than the maximum of {}",
    Losses::MAX_BYTES
))]
pub struct LossesTooLarge {
    len: usize,
}

impl Losses {
    /// Maximum size in bytes; leaves most of a digest for member records.
    pub const MAX_BYTES: usize = 256;

    /// Wraps encoded losses, or returns an error if they are too large.
    pub fn new(bytes: Vec<u8>) -> Result<Self, LossesTooLarge> {
        match bytes.len() {
            0..=Self::MAX_BYTES => Ok(Self(bytes)),
            len => Err(LossesTooLarge { len }),
        }
    }

    /// Returns the encoded losses.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl<'de> Deserialize<'de> for Losses {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        Self::new(Vec::deserialize(source)?).map_err(de::Error::custom)
    }
}
