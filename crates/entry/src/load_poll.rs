//! Polling of the targets' load reports.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::sleep;
use wagtailmoor_backend::{LoadReport, TargetState};
use wagtailmoor_core::{Instant, Requests, TargetId};
use wagtailmoor_dispatch::ReportedState;
use wagtailmoor_limits::ResourceId;
use wagtailmoor_telemetry::Event;

use crate::entry::Shared;
use crate::ownership_calls;
use crate::state::State;

/// Reports lag behind the actual load, so shorter intervals give little new information.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Polls the load reports of all targets.
pub(crate) async fn run(entry: Shared) {
    loop {
        let targets: Vec<(TargetId, SocketAddr)> = entry
            .state()
            .directory
            .iter()
            .map(|(target, entry)| (target.clone(), entry.address))
            .collect();
        let reports = targets.into_iter().map(|(target, address)| {
            let entry = entry.clone();
            async move { (target, entry.targets.load(address).await) }
        });
        apply(&entry, &join_all(reports).await);
        sleep(INTERVAL).await;
    }
}

fn apply(entry: &Shared, reports: &[(TargetId, Option<LoadReport>)]) {
    let now = entry.now();
    let outputs = {
        let mut state = entry.state();
        let mut changed = false;
        for (target, report) in reports {
            changed |= state.directory.on_poll(target, report.is_some());
            changed |=
                report.as_ref().is_some_and(|report| state.on_load_report(now, target, report));
        }
        match changed {
            true => state.configure(now),
            false => Vec::new(),
        }
    };
    ownership_calls::execute_all(entry, outputs);
}

impl State {
    /// Applies a load report and returns whether the state of the target changed.
    fn on_load_report(&mut self, now: Instant, target: &TargetId, report: &LoadReport) -> bool {
        let Some(back_end) = self.directory.get(target).map(|entry| entry.back_end.clone()) else {
            return false;
        };
        if let Some(back_end) = self.back_ends.get_mut(&back_end) {
            back_end.targets.on_load_report(now, target, dispatch_report(report));
        }
        let cold = report.state == TargetState::Cold;
        let draining = report.state == TargetState::Draining;
        let was_cold = self.directory.get(target).is_some_and(|entry| entry.cold);
        let changed = self.directory.on_load_report(target, cold, draining);
        if cold && !was_cold {
            Event::new("target-cold").field("target", target).info();
            let issuers = self.roles.values_mut().filter_map(|role| role.issuers.as_mut());
            for issuers in issuers {
                issuers.permits.set_cold(now, &ResourceId::slots(target.clone()));
            }
        }
        changed
    }
}

fn dispatch_report(report: &LoadReport) -> wagtailmoor_dispatch::LoadReport {
    wagtailmoor_dispatch::LoadReport {
        state: match report.state {
            TargetState::Cold => ReportedState::Cold,
            TargetState::Warm => ReportedState::Warm,
            TargetState::Draining => ReportedState::Draining,
        },
        running: Requests::new(report.running),
        queued: Requests::new(report.queued),
        age: Duration::from_millis(report.age_ms),
    }
}
