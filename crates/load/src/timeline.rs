//! Executes the steps of a timeline.

use serde_json::Value;
use tokio::time;
use wagtailmoor_derive::value;
use wagtailmoor_history::Withdrawal;

use crate::clock::RunClock;
use crate::control_client::ControlClient;
use crate::{Step, ZoneOrTarget};

/// Result of an executed step.
#[value]
pub struct StepResult {
    /// Time of the step in the scenario, from the start of the run.
    pub at_ms: u64,
    /// Name of the step.
    pub name: String,
    /// Error, if the step failed.
    pub error: Option<String>,
}

/// Pending steps of a run, results of the executed ones, and the withdrawals they caused.
pub(crate) struct Timeline<A> {
    pending: Vec<Step>,
    control: Option<ControlClient>,
    clock: RunClock,
    announce: A,
    pub(crate) steps: Vec<StepResult>,
    pub(crate) withdrawals: Vec<Withdrawal>,
}

impl<A: Fn(&Step)> Timeline<A> {
    pub(crate) fn new(
        steps: &[Step],
        control: Option<ControlClient>,
        clock: RunClock,
        announce: A,
    ) -> Self {
        let mut pending = steps.to_vec();
        pending.sort_by_key(|step| step.at_ms.value);
        Self { pending, control, clock, announce, steps: Vec::new(), withdrawals: Vec::new() }
    }

    /// Executes all steps, each at its time.
    pub(crate) async fn run(mut self) -> Self {
        for step in std::mem::take(&mut self.pending) {
            time::sleep_until(self.clock.instant_at(step.at_ms.value * 1_000)).await;
            let result = self.execute(&step).await;
            let name = step.name.clone();
            let error = result.err();
            if let Some(error) = &error {
                log::error!("event=step-failed step={name:?} error={error:?}");
            }
            self.steps.push(StepResult { at_ms: step.at_ms.value, name, error });
            self.update_withdrawals(&step);
        }
        self
    }

    async fn execute(&self, step: &Step) -> Result<(), String> {
        if step.announce.is_some() {
            (self.announce)(step);
        }
        let Some(path) = &step.control else { return Ok(()) };
        let control = self.control.ok_or("no control interface address given")?;
        let body = step.body.clone().unwrap_or(Value::Null);
        control.post(path, &body).await.map_err(|error| error.to_string())
    }

    /// Records the start or end of the withdrawals that the step causes.
    fn update_withdrawals(&mut self, step: &Step) {
        let now_us = self.clock.unix_us();
        if let Some(scope) = &step.takes_out {
            let (zone, target) = zone_and_target(scope);
            let withdrawal = Withdrawal { zone, target, from_us: now_us, until_us: None };
            self.withdrawals.push(withdrawal);
        }
        if let Some(scope) = &step.puts_back {
            let (zone, target) = zone_and_target(scope);
            let ongoing = self.withdrawals.iter_mut().filter(|withdrawal| {
                withdrawal.until_us.is_none()
                    && withdrawal.zone == zone
                    && withdrawal.target == target
            });
            ongoing.for_each(|withdrawal| withdrawal.until_us = Some(now_us));
        }
    }
}

fn zone_and_target(scope: &ZoneOrTarget) -> (Option<String>, Option<String>) {
    match scope {
        ZoneOrTarget::Zone(zone) => (Some(zone.to_string()), None),
        ZoneOrTarget::Target(target) => (None, Some(target.to_string())),
    }
}
