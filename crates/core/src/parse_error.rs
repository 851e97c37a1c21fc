//! Parse errors of newtypes.

use snafu::Snafu;

const MAX_ID_LEN: usize = 64;

/// A text that is not a valid id, size or rate.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("invalid {what} {text:?}: expected {expected}"))]
pub struct ParseError {
    what: &'static str,
    text: String,
    expected: &'static str,
}

impl ParseError {
    /// Creates an error; `text` is truncated in it.
    pub fn new(what: &'static str, text: &str, expected: &'static str) -> Self {
        Self { what, text: text.chars().take(MAX_ID_LEN).collect(), expected }
    }
}

pub(crate) fn check_text_id(what: &'static str, text: &str) -> Result<(), ParseError> {
    let valid = |byte: u8| matches!(byte, b'a'..=b'z' | b'0'..=b'9' | b'.' | b'_' | b'-');
    match text.len() {
        1..=MAX_ID_LEN if text.bytes().all(valid) => Ok(()),
        _ => Err(ParseError::new(what, text, "1 to 64 characters of [a-z0-9._-]")),
    }
}
