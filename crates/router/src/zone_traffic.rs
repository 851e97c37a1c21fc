//! Bytes that this node exchanges with targets and nodes of each zone.

use std::fmt::{Display, Formatter, Result as FmtResult};
use std::time::Duration;

use tokio::time::sleep;
use wagtailmoor_core::{SortedVec, ZoneId};
use wagtailmoor_derive::scalar;
use wagtailmoor_telemetry::{Event, TrafficMeter};

use crate::state::Shared;

/// Interval at which the bytes are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// The connections whose bytes are counted together.
#[scalar]
pub(crate) enum TrafficKind {
    /// Requests on keys, to the targets that own them.
    Keyed,
    /// Requests that any target of a back end can run.
    Pooled,
    /// Reports to the leader and its replies.
    Report,
    /// Rows of the store that other nodes relay.
    Rows,
}

impl Display for TrafficKind {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> FmtResult {
        formatter.write_str(match self {
            Self::Keyed => "keyed",
            Self::Pooled => "pooled",
            Self::Report => "report",
            Self::Rows => "rows",
        })
    }
}

/// Bytes that this node exchanges with targets and nodes of each zone. Each connection is counted
/// by the process that opens it, so the sum over all nodes counts every byte once.
#[derive(Debug, Default)]
pub(crate) struct ZoneTraffic {
    meters: SortedVec<(TrafficKind, ZoneId), TrafficMeter>,
}

impl ZoneTraffic {
    /// Returns the meter of the connections of a kind to a zone.
    pub(crate) fn meter(&mut self, kind: TrafficKind, zone: &ZoneId) -> TrafficMeter {
        self.meters.get_or_insert_with((kind, zone.clone()), TrafficMeter::default).clone()
    }

    /// Iterates over the meters.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (TrafficKind, &ZoneId, &TrafficMeter)> {
        self.meters.iter().map(|((kind, zone), meter)| (*kind, zone, meter))
    }

    /// Returns one event for each kind and zone, with the bytes since the start of the process.
    pub(crate) fn events(&self, own_zone: &ZoneId) -> Vec<Event> {
        self.iter()
            .map(|(kind, zone, meter)| {
                Event::new("zone-bytes")
                    .field("kind", kind)
                    .field("from_zone", own_zone)
                    .field("to_zone", zone)
                    .field("sent", meter.sent().get())
                    .field("received", meter.received().get())
            })
            .collect()
    }
}

/// Logs the bytes at intervals until the process stops.
pub(crate) async fn log(shared: Shared) {
    loop {
        sleep(LOG_INTERVAL).await;
        let events = shared.read().traffic.events(&shared.settings.zone);
        events.into_iter().for_each(Event::debug);
    }
}
