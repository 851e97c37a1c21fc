//! Reserves fencing tokens in the store.

use serde::{Deserialize, Serialize};
use snafu::Snafu;
use wagtailmoor_core::{BackEndId, Epoch, RowVersion, StoreEra};
use wagtailmoor_ranges::EpochBlock;
use wagtailmoor_store::{ConfirmedOutcome, RowWrite, Table, write_and_confirm};
use wagtailmoor_telemetry::Event;

use crate::leader_loop::write_id;
use crate::state::Shared;

/// Table with the reserved fencing tokens of each back end and era.
const EPOCHS_TABLE: &str = "epochs";

/// Content of a row: the last token of the last reserved block.
#[derive(Debug, Serialize, Deserialize)]
struct ReservationRow {
    reserved: Epoch,
}

/// No tokens were reserved; the attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("no fencing tokens could be reserved"))]
pub(crate) struct ReservationFailed;

/// Reserves the next block of fencing tokens of a back end in an era, above `used`. Returns `None`
/// for a store that states no era: it never goes back, so its row of owners names the last token.
///
/// # Errors
///
/// The store did not confirm the reservation. A write that is performed later only leaves out
/// tokens.
pub(crate) async fn reserve<T: Table>(
    shared: &Shared,
    table: &T,
    back_end: &BackEndId,
    era: StoreEra,
    used: Epoch,
) -> Result<Option<EpochBlock>, ReservationFailed> {
    if era == StoreEra::default() {
        return Ok(None);
    }
    let name = row_name(back_end, era);
    let failed = |cause: &str| {
        let event = Event::new("epochs-not-reserved").field("back_end", back_end);
        event.field("era", era).field("cause", cause).warn();
        ReservationFailed
    };
    let row = table.read(&name).await.map_err(|error| failed(&error.to_string()))?;
    let version = row.as_ref().map_or(RowVersion::default(), |row| row.version);
    let stored = row.map(|row| serde_json::from_value::<ReservationRow>(row.value)).transpose();
    let stored = stored.map_err(|error| failed(&error.to_string()))?;
    let block = EpochBlock::next(era, stored.map(|row| row.reserved), used);
    let block = block.ok_or_else(|| failed("the era has no fencing tokens left"))?;
    let content = ReservationRow { reserved: block.end() };
    let value = serde_json::to_value(content).expect("a reservation is representable in JSON");
    let write = RowWrite { row: name.into(), expected: version, value: Some(value) };
    match write_and_confirm(table, write_id(shared), write).await {
        // Written after another restore, the row protects nothing: its era is over.
        ConfirmedOutcome::Done(version) if version.era() == era => Ok(Some(block)),
        outcome => Err(failed(&format!("{outcome:?}"))),
    }
}

/// Returns the name of a row. It contains the era, so that a write of a former era that the store
/// performs late does not change it.
fn row_name(back_end: &BackEndId, era: StoreEra) -> String {
    format!("{EPOCHS_TABLE}/{back_end}@{era}")
}
