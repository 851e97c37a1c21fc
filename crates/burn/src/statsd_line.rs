//! Parser for the statsd lines that entry processes emit.

use std::str::FromStr;

use crate::{LineError, RequestTags};

/// Prefix of the metric names of entry processes.
const NAME_PREFIX: &str = "wagtailmoor.";

/// A parsed line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatsdLine {
    /// A counter of requests.
    Requests {
        /// Tags that all the requests have.
        tags: RequestTags,
        /// Number of requests.
        requests: u64,
    },
    /// The latency of one request.
    Latency {
        /// Tags of the request.
        tags: RequestTags,
        /// Latency in milliseconds.
        latency_ms: u64,
    },
    /// A metric that the report does not use.
    Other,
}

impl FromStr for StatsdLine {
    type Err = LineError;

    fn from_str(line: &str) -> Result<Self, LineError> {
        let (name, rest) = line.split_once(':').ok_or(LineError::Format)?;
        let mut parts = rest.split('|');
        let (value, kind) = parts.next().zip(parts.next()).ok_or(LineError::Format)?;
        if name.is_empty() || value.is_empty() || kind.is_empty() {
            return Err(LineError::Format);
        }
        let (tags, extension) = (parts.next().unwrap_or("#"), parts.next());
        match (name.strip_prefix(NAME_PREFIX), kind) {
            (Some("requests"), "c") => {
                let tags = request_tags(tags, extension)?;
                Ok(Self::Requests { tags, requests: number(value)? })
            }
            (Some("latency"), "ms") => {
                let tags = request_tags(tags, extension)?;
                Ok(Self::Latency { tags, latency_ms: number(value)? })
            }
            (Some("requests" | "latency"), _) => Err(LineError::Value),
            _ => Ok(Self::Other),
        }
    }
}

/// Parses a value. Values above 32 bits are rejected, so that sums of values do not overflow.
fn number(text: &str) -> Result<u64, LineError> {
    text.parse::<u32>().map(u64::from).map_err(|_| LineError::Value)
}

fn request_tags(tags: &str, extension: Option<&str>) -> Result<RequestTags, LineError> {
    match (tags.strip_prefix('#'), extension) {
        (Some(tags), None) => RequestTags::parse(tags),
        _ => Err(LineError::Extension),
    }
}
