//! State shared by all stand-ins of a process.

use std::cell::RefCell;
use std::rc::Rc;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::key_store::KeyStore;
use crate::{ExecutionLog, StandInClock};

/// Clock, log, counters of keys and random numbers shared by all stand-ins of a process.
#[derive(Clone)]
pub struct Context {
    clock: StandInClock,
    log: Rc<ExecutionLog>,
    keys: Rc<KeyStore>,
    random: Rc<RefCell<ChaCha8Rng>>,
}

impl Context {
    /// Creates a context whose random numbers are determined by the seed.
    pub fn new(seed: u64) -> Self {
        Self {
            clock: StandInClock::start(),
            log: Rc::default(),
            keys: Rc::default(),
            random: Rc::new(RefCell::new(ChaCha8Rng::seed_from_u64(seed))),
        }
    }

    /// Returns the clock of all time stamps in logs and replies.
    pub fn clock(&self) -> StandInClock {
        self.clock
    }

    /// Returns the log of executions and violations.
    pub fn log(&self) -> &Rc<ExecutionLog> {
        &self.log
    }

    pub(crate) fn keys(&self) -> &Rc<KeyStore> {
        &self.keys
    }

    /// Returns a random number from 0 up to and not including 1.
    pub(crate) fn random_unit(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Returns true with the given probability.
    pub(crate) fn chance(&self, share: wagtailmoor_core::PartsPerMillion) -> bool {
        share.get() > 0 && self.random_unit() < share.of(1.0)
    }
}
