//! Timeline steps of a scenario.

use serde::Deserialize;
use serde_json::Value;
use serde_saphyr::Spanned;
use wagtailmoor_core::{TargetId, ZoneId};

use crate::scenario::InvalidField;

/// A timeline step: either a request to the control interface of the stand-ins, or an announcement
/// after which a user or a test executes the step.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// Time of the step, from the start of the run.
    pub at_ms: Spanned<u64>,
    /// Name of the step in reports.
    pub name: String,
    /// Path below `/control/` to which a POST is sent.
    #[serde(default)]
    pub control: Option<String>,
    /// JSON body of the POST.
    #[serde(default)]
    pub body: Option<Value>,
    /// Instruction for the user or test.
    #[serde(default)]
    pub announce: Option<String>,
    /// Zone or target that must receive no new work after this step.
    #[serde(default)]
    pub takes_out: Option<ZoneOrTarget>,
    /// Zone or target that may receive new work again after this step.
    #[serde(default)]
    pub puts_back: Option<ZoneOrTarget>,
}

/// An availability zone or a single target.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneOrTarget {
    /// All targets of the zone.
    Zone(ZoneId),
    /// One target.
    Target(TargetId),
}

impl Step {
    pub(crate) fn validate(&self, duration_ms: u64) -> Result<(), InvalidField> {
        let invalid = |field: &str, message: &str| {
            let (field, message) = (format!("timeline.{field}"), message.to_owned());
            Err(InvalidField { location: self.at_ms.defined, field, message })
        };
        match (&self.control, &self.announce) {
            _ if self.at_ms.value > duration_ms => {
                invalid("at_ms", "must not be later than `duration_ms`")
            }
            (Some(_), Some(_)) | (None, None) => {
                invalid("control", "a step needs exactly one of `control` and `announce`")
            }
            (None, Some(_)) if self.body.is_some() => invalid("body", "needs `control`"),
            _ => Ok(()),
        }
    }
}
