//! Secrets of customer keys.

use std::fs;
use std::path::Path;

use rand::RngExt;
use rand::distr::Alphanumeric;

use crate::failure::Failure;

/// 43 characters from an alphabet of 62 give more than 250 bits.
const SECRET_LEN: usize = 43;

/// Shorter secrets can be guessed.
const SECRET_MIN_LEN: usize = 16;

/// Generates an alphanumeric secret with a cryptographically secure generator that the operating
/// system seeds.
pub(crate) fn generate() -> String {
    rand::rng().sample_iter(Alphanumeric).take(SECRET_LEN).map(char::from).collect()
}

/// Reads a secret from the first line of a file.
pub(crate) fn read(path: &Path) -> Result<String, Failure> {
    let text = fs::read_to_string(path).map_err(|error| Failure::Input {
        problem: format!("{}: cannot be read: {error}", path.display()),
    })?;
    let secret = text.lines().next().unwrap_or_default();
    match secret {
        _ if secret.len() < SECRET_MIN_LEN => Err(Failure::Input {
            problem: format!(
                "{}: the key is shorter than {SECRET_MIN_LEN} characters",
                path.display()
            ),
        }),
        _ if !secret.bytes().all(|byte| byte.is_ascii_graphic()) => Err(Failure::Input {
            problem: format!(
                "{}: the key contains a character that is not visible ASCII",
                path.display()
            ),
        }),
        _ => Ok(secret.into()),
    }
}
