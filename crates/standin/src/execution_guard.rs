//! Guard that closes the record of an execution.

use std::rc::Rc;

use wagtailmoor_history::{Ending, Execution};

use crate::fault_switches::FaultSwitches;
use crate::{ExecutionLog, StandInClock};

/// Closes the record of an execution when dropped. Unless `set_ending` was called, the ending is
/// `Crashed` if the target is down and `Cancelled` otherwise.
pub(crate) struct ExecutionGuard {
    log: Rc<ExecutionLog>,
    clock: StandInClock,
    faults: Rc<FaultSwitches>,
    index: u64,
    ending: Ending,
    latest_end_us: u64,
}

impl ExecutionGuard {
    /// Opens a record. `latest_end_us` is the deadline of the work in Unix time.
    pub(crate) fn begin(
        log: &Rc<ExecutionLog>,
        clock: StandInClock,
        faults: &Rc<FaultSwitches>,
        execution: Execution,
        latest_end_us: u64,
    ) -> Self {
        let index = log.begin(execution);
        let (log, faults) = (log.clone(), faults.clone());
        Self { log, clock, faults, index, ending: Ending::Cancelled, latest_end_us }
    }

    pub(crate) fn set_ending(&mut self, ending: Ending) {
        self.ending = ending;
    }
}

impl Drop for ExecutionGuard {
    fn drop(&mut self) {
        let now_us = self.clock.unix_us();
        if self.ending == Ending::Cancelled && self.faults.is_down() {
            self.ending = Ending::Crashed;
        }
        let end_us = match self.ending {
            Ending::DeadlineExceeded => now_us.min(self.latest_end_us),
            _ => now_us,
        };
        self.log.end(self.index, end_us, self.ending);
    }
}
