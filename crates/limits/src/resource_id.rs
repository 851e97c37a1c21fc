//! Limited resources of targets.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::str::FromStr;

use wagtailmoor_core::{ParseError, TargetId};
use wagtailmoor_derive::{scalar, value};

use crate::Tag;

/// Kind of resource that is limited at a target.
#[scalar]
#[serde(rename_all = "kebab-case")]
pub enum ResourceKind {
    /// Concurrent requests.
    Slots,
    /// Open connections.
    Connections,
}

/// One limited resource of one target, written `target/slots` or `target/connections`.
#[value]
#[derive(PartialOrd, Ord, Hash)]
pub struct ResourceId {
    /// Target that has the resource.
    pub target: TargetId,
    /// Kind of resource.
    pub kind: ResourceKind,
}

impl ResourceId {
    /// Returns the id of a target's request slots.
    pub fn slots(target: TargetId) -> Self {
        Self { target, kind: ResourceKind::Slots }
    }

    /// Returns the id of a target's connections.
    pub fn connections(target: TargetId) -> Self {
        Self { target, kind: ResourceKind::Connections }
    }

    /// Returns the tag that stands for this id in messages.
    pub fn tag(&self) -> Tag {
        Tag::of(&self.to_string())
    }
}

impl Display for ResourceKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Slots => "slots",
            Self::Connections => "connections",
        })
    }
}

impl FromStr for ResourceKind {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "slots" => Ok(Self::Slots),
            "connections" => Ok(Self::Connections),
            _ => Err(ParseError::new("resource kind", text, "slots or connections")),
        }
    }
}

impl Display for ResourceId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        write!(formatter, "{}/{}", self.target, self.kind)
    }
}

impl FromStr for ResourceId {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || ParseError::new("resource id", text, "target/slots or target/connections");
        let (target, kind) = text.split_once('/').ok_or_else(error)?;
        Ok(Self { target: target.parse()?, kind: kind.parse()? })
    }
}
