//! Deterministic response bodies that a receiver can verify.

use wagtailmoor_core::KeyHash;

const WORD_BYTES: usize = 8;

/// Generator of a response body whose bytes depend only on the path and query of the request.
///
/// With the same path and query, a receiver detects missing, foreign and reordered bytes.
#[derive(Clone, Debug)]
pub struct BodyPattern {
    seed: u64,
    offset: u64,
}

impl BodyPattern {
    /// Creates a generator at offset 0 of the response to a path with its query.
    pub fn new(path_and_query: &str) -> Self {
        Self { seed: KeyHash::of(path_and_query.as_bytes()).get(), offset: 0 }
    }

    /// Generates the next `count` bytes.
    pub fn next_bytes(&mut self, count: usize) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(count + WORD_BYTES);
        let skipped = usize::try_from(self.offset % WORD_BYTES as u64).unwrap_or_default();
        let mut word = self.offset / WORD_BYTES as u64;
        while bytes.len() < skipped + count {
            bytes.extend_from_slice(&self.word(word));
            word += 1;
        }
        self.offset += count as u64;
        bytes.drain(..skipped);
        bytes.truncate(count);
        bytes
    }

    /// Returns whether `bytes` match the next bytes of the pattern; advances in either case.
    pub fn accept(&mut self, bytes: &[u8]) -> bool {
        self.next_bytes(bytes.len()) == bytes
    }

    /// Returns the number of bytes generated or accepted so far.
    pub fn len(&self) -> u64 {
        self.offset
    }

    /// Returns whether no bytes were generated or accepted so far.
    pub fn is_empty(&self) -> bool {
        self.offset == 0
    }

    fn word(&self, index: u64) -> [u8; WORD_BYTES] {
        self.seed.wrapping_add(index.wrapping_mul(0x9e37_79b9_7f4a_7c15)).to_le_bytes()
    }
}
