//! The context that all tasks of an entry process share.

use std::cell::{RefCell, RefMut};
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use wagtailmoor_backend::TargetClient;
use wagtailmoor_core::{Clock, Instant, MonotonicClock, millis};
use wagtailmoor_peer::PeerClient;
use wagtailmoor_store::HttpPlatform;
use wagtailmoor_telemetry::Metrics;

use crate::signals::Signals;
use crate::state::State;

/// State, clock, clients and wake-ups of an entry process.
pub(crate) struct Entry {
    state: RefCell<State>,
    pub(crate) clock: MonotonicClock,
    pub(crate) platform: HttpPlatform,
    pub(crate) peers: PeerClient,
    pub(crate) targets: TargetClient,
    pub(crate) metrics: Metrics,
    pub(crate) signals: Signals,
}

/// Reference-counted [`Entry`], one clone per task.
pub(crate) type Shared = Rc<Entry>;

impl Entry {
    pub(crate) fn new(state: State, clock: MonotonicClock, metrics: Metrics) -> Shared {
        let platform = HttpPlatform::new(state.settings.platform);
        Rc::new(Self {
            state: RefCell::new(state),
            clock,
            platform,
            peers: PeerClient::new(),
            targets: TargetClient::new(),
            metrics,
            signals: Signals::default(),
        })
    }

    /// Borrows the state. The borrow must end before the next await.
    pub(crate) fn state(&self) -> RefMut<'_, State> {
        self.state.borrow_mut()
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Records that the store answered a request sent at `sent_at`.
    pub(crate) fn record_store_contact(&self, sent_at: Instant) {
        let mut state = self.state();
        state.store_last_contact = state.store_last_contact.max(Some(sent_at));
    }
}

/// Returns milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    millis(since)
}
