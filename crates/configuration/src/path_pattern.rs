//! Patterns of request paths.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use wagtailmoor_core::ParseError;

const EXPECTED: &str = "a path of literals, {key}, {customer}, * and a final **, each of the \
     names at most once";

#[derive(Clone, Debug, PartialEq, Eq)]
enum Segment {
    Literal(Arc<str>),
    Key,
    Customer,
    Any,
}

/// Values that a pattern captured from a path.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PathMatch<'a> {
    /// The application key.
    pub key: Option<&'a str>,
    /// The customer named in the path.
    pub customer: Option<&'a str>,
}

/// A pattern such as `/feed/{key}/**`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PathPattern {
    segments: Vec<Segment>,
    /// Whether the pattern ends with `**` and matches any further segments.
    open_ended: bool,
}

impl PathPattern {
    /// Matches a path without its query.
    pub fn matches<'a>(&self, path: &'a str) -> Option<PathMatch<'a>> {
        let mut parts = path.strip_prefix('/')?.split('/');
        let mut found = PathMatch::default();
        for segment in &self.segments {
            let part = parts.next()?;
            match segment {
                Segment::Literal(literal) if &**literal != part => return None,
                Segment::Key | Segment::Customer if part.is_empty() => return None,
                Segment::Key => found.key = Some(part),
                Segment::Customer => found.customer = Some(part),
                Segment::Literal(_) | Segment::Any => {}
            }
        }
        match parts.next() {
            Some(_) if !self.open_ended => None,
            _ => Some(found),
        }
    }

    /// Returns whether the pattern contains `{key}`.
    pub fn has_key(&self) -> bool {
        self.segments.contains(&Segment::Key)
    }

    /// Returns whether the pattern contains `{customer}`.
    pub fn has_customer(&self) -> bool {
        self.segments.contains(&Segment::Customer)
    }

    /// Appends a segment; returns whether it is valid.
    fn push(&mut self, part: &str) -> bool {
        let segment = match part {
            "{key}" if !self.has_key() => Segment::Key,
            "{customer}" if !self.has_customer() => Segment::Customer,
            "*" => Segment::Any,
            _ if part.contains(['{', '}', '*', '?', '#']) => return false,
            _ => Segment::Literal(part.into()),
        };
        self.segments.push(segment);
        true
    }
}

impl FromStr for PathPattern {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("path pattern", text, EXPECTED);
        let rest = text.strip_prefix('/').ok_or_else(error)?;
        let (rest, open_ended) = match rest.strip_suffix("**") {
            Some("") => ("", true),
            Some(head) => (head.strip_suffix('/').ok_or_else(error)?, true),
            None => (rest, false),
        };
        let mut pattern = Self { segments: Vec::new(), open_ended };
        let mut parts = rest.split('/').filter(|_| !(rest.is_empty() && open_ended));
        match parts.all(|part| pattern.push(part)) {
            true => Ok(pattern),
            false => Err(error()),
        }
    }
}

impl Display for PathPattern {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        for segment in &self.segments {
            match segment {
                Segment::Literal(literal) => write!(formatter, "/{literal}")?,
                Segment::Key => formatter.write_str("/{key}")?,
                Segment::Customer => formatter.write_str("/{customer}")?,
                Segment::Any => formatter.write_str("/*")?,
            }
        }
        match self.open_ended {
            true => formatter.write_str("/**"),
            false => Ok(()),
        }
    }
}

impl Serialize for PathPattern {
    fn serialize<S: Serializer>(&self, target: S) -> Result<S::Ok, S::Error> {
        target.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for PathPattern {
    fn deserialize<D: Deserializer<'de>>(source: D) -> Result<Self, D::Error> {
        String::deserialize(source)?.parse().map_err(de::Error::custom)
    }
}
