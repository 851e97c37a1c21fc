//! Tags of request metrics.

use std::str::FromStr;

use wagtailmoor_core::{Outcome, Reason};

use crate::{LineError, Subject};

/// Tag value for a customer, template or reason that a request does not have.
const ABSENT_VALUE: &str = "-";

/// Tags of a request metric that the report uses.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestTags {
    /// Customer and template of the requests.
    pub subject: Subject,
    /// Outcome of the requests.
    pub outcome: Outcome,
    /// Reason for a refusal or an unknown outcome; `None` if there is none.
    pub reason: Option<Reason>,
}

impl RequestTags {
    /// Parses the tags of a metric.
    pub(crate) fn parse(tags: &str) -> Result<Self, LineError> {
        let outcome = tag(tags, "outcome").and_then(|text| text.parse().ok());
        Ok(Self {
            subject: Subject {
                customer: optional_tag(tags, "customer")?,
                template: optional_tag(tags, "template")?,
            },
            outcome: outcome.ok_or(LineError::Tag { tag: "outcome" })?,
            reason: optional_tag(tags, "reason")?,
        })
    }
}

fn tag<'a>(tags: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = tags.split(',').filter_map(|pair| pair.split_once(':'));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn optional_tag<T: FromStr>(tags: &str, name: &'static str) -> Result<Option<T>, LineError> {
    match tag(tags, name) {
        None => Err(LineError::Tag { tag: name }),
        Some(ABSENT_VALUE) => Ok(None),
        Some(text) => text.parse().map(Some).map_err(|_| LineError::Tag { tag: name }),
    }
}
