//! Decoding of the rows that operators and targets write to the platform's store.

use bytes::Bytes;
use snafu::Snafu;
use wagtailmoor_core::{BackEndId, ZoneId};
use wagtailmoor_rollout::{RolloutOrder, RolloutStatus};
use wagtailmoor_site::{SiteConfig, Target};

/// A change by operators.
#[derive(Clone, Debug)]
pub enum OperatorChange {
    /// A new version of the whole configuration.
    Config(Box<SiteConfig>),
    /// A zone was taken out of service.
    ZoneDisabled(ZoneId),
    /// A zone was put back into service.
    ZoneEnabled(ZoneId),
    /// A back end is to move to another version.
    RolloutOrdered(RolloutOrder),
    /// The order for a back end was withdrawn.
    RolloutWithdrawn(BackEndId),
}

/// A row that cannot be decoded; it is logged and skipped.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{cause}"))]
pub struct UnusableRow {
    /// The fault in the row's key or content.
    pub cause: String,
}

/// Decodes the rows of a platform.
pub trait SiteDecoder {
    /// Key of the configuration's row, whose content states its version.
    const CONFIG_KEY: &'static str;
    /// Table that operators write.
    const OPERATOR_TABLE: &'static str;
    /// Table in which targets register.
    const TARGET_TABLE: &'static str;

    /// Decodes a row that operators wrote. `content` is `None` if they removed the row.
    ///
    /// # Errors
    ///
    /// The key or the content is not valid.
    fn operator_change(
        &self,
        key: &str,
        content: Option<&[u8]>,
    ) -> Result<OperatorChange, UnusableRow>;

    /// Decodes the registration of a target.
    ///
    /// # Errors
    ///
    /// The key or the content is not valid.
    fn target(&self, key: &str, content: &[u8]) -> Result<Target, UnusableRow>;

    /// Returns the name and content of the row that shows operators the result of an order.
    fn rollout_status(&self, status: &RolloutStatus) -> (String, Bytes);
}
