//! Short identifiers of customers and limited resources in messages.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::{KeyHash, ParseError};
use wagtailmoor_derive::scalar;

const TAG_BYTES: usize = 6;

/// Hash of an id, sent in messages in place of the id.
///
/// Credits and permits are requested ten times a second, so full ids would take up most of the byte
/// budget. At 48 bits, any two of 10,000 ids collide with a probability of 2 in 10 million.
#[scalar]
#[serde(transparent)]
pub struct Tag([u8; TAG_BYTES]);

impl Tag {
    /// Computes the tag of an id.
    pub fn of(id: &str) -> Self {
        let bytes = KeyHash::of(id.as_bytes()).get().to_be_bytes();
        let mut tag = [0; TAG_BYTES];
        tag.copy_from_slice(&bytes[..TAG_BYTES]);
        Self(tag)
    }
}

impl Display for Tag {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        self.0.iter().try_for_each(|byte| write!(formatter, "{byte:02x}"))
    }
}

impl FromStr for Tag {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("tag", text, "12 hexadecimal digits");
        if text.len() != 2 * TAG_BYTES || !text.is_ascii() {
            return Err(error());
        }
        let mut tag = [0; TAG_BYTES];
        for (index, byte) in tag.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| error())?;
        }
        Ok(Self(tag))
    }
}
