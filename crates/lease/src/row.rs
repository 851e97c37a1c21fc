//! The row `controller/<zone>`.

use wagtailmoor_core::{RowVersion, WriteId};
use wagtailmoor_derive::value;

use crate::Panel;

/// The contents of the row `controller/<zone>`.
#[value]
pub struct ControllerRow {
    /// The newest panel.
    pub panel: Panel,
    /// Number of writes of the row.
    pub renewals: u64,
    /// Older panels that may still be valid, oldest first. The first was active when the row was
    /// written.
    pub superseded: Vec<Panel>,
}

impl ControllerRow {
    /// Returns the panel that was active when the row was written. A newer panel of the row may
    /// have been activated since.
    pub fn active_panel(&self) -> &Panel {
        self.superseded.first().unwrap_or(&self.panel)
    }

    /// Iterates over every panel that may be valid, oldest first.
    pub fn panels(&self) -> impl Iterator<Item = &Panel> {
        self.superseded.iter().chain([&self.panel])
    }
}

/// The row with the version and write id that the store keeps with it.
#[value]
pub struct StoredRow {
    /// Contents.
    pub row: ControllerRow,
    /// Version that the last write produced.
    pub version: RowVersion,
    /// Id of the last write.
    pub write: WriteId,
}
