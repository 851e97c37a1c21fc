//! A node that can become controller of its zone.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use wagtailmoor_core::{Instant, ZoneId};
use wagtailmoor_ownership::{Controller, Input, Output, OwnershipSettings, RouteTable};

use crate::fake_target::DriftingClock;

pub(crate) struct Node {
    pub(crate) zone: ZoneId,
    pub(crate) clock: DriftingClock,
    pub(crate) controller: Controller,
    pub(crate) routes: RouteTable,
    pub(crate) up: bool,
    pub(crate) paused_until_us: u64,
    seed: u64,
}

impl Node {
    pub(crate) fn new(
        zone: ZoneId,
        clock: DriftingClock,
        settings: &OwnershipSettings,
        seed: u64,
    ) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        let controller = Controller::new(zone.clone(), settings.clone(), random);
        let routes = RouteTable::new();
        Self { zone, clock, controller, routes, up: true, paused_until_us: 0, seed }
    }

    pub(crate) fn restart(&mut self, settings: &OwnershipSettings) {
        self.seed = self.seed.wrapping_add(1_000_003);
        *self = Self::new(self.zone.clone(), self.clock, settings, self.seed);
    }

    pub(crate) fn now(&self, now_us: u64) -> Instant {
        Instant::from_us(self.clock.read(now_us))
    }

    pub(crate) fn handle(&mut self, now_us: u64, input: Input) -> Vec<Output> {
        let now = self.now(now_us);
        self.controller.handle(now, input)
    }

    /// Returns the end of an authority on the clock of this node. The clock reaches this end before
    /// `span` has passed on any other clock within the drift bound.
    pub(crate) fn authority_end(&self, now_us: u64, span: Duration) -> Instant {
        self.now(now_us) + span.mul_f64(0.985)
    }
}
