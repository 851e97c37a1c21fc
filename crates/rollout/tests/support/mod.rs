//! A simulated site: hosts, targets, a leader and a store, driven by a manual clock.

use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{
    BackEndId, Instant, NodeId, PartsPerMillion, Requests, RowVersion, StoreTime, TargetId,
};
use wagtailmoor_rollout::{
    HostRollout, InFlightGuard, Inventory, NewTarget, RolloutAction, RolloutController,
    RolloutOrder, RolloutPhase, RolloutRow, RolloutSettings, RolloutStatus, VersionClass,
};

const STEP_MS: u64 = 10;
const REPORT_MS: u64 = 200;
/// Time until a written row reaches the hosts.
const FEED_MS: u64 = 300;
const ROUTES: [&str; 2] = ["read", "write"];
const OLD_MS: u64 = 60;
pub(crate) const COLD_MS: u64 = 3_000;

/// An attempt at a target, as input of its behaviour.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) now_ms: u64,
    pub(crate) is_new: bool,
    pub(crate) target: usize,
    pub(crate) route: usize,
    /// Between zero and one.
    pub(crate) chance: f64,
}

/// Whether an attempt fails, and the factor of its response time.
pub(crate) type Behaviour = fn(Attempt) -> (bool, u64);

#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) hosts: usize,
    pub(crate) per_s: u64,
    pub(crate) old: usize,
    pub(crate) new: usize,
    pub(crate) new_start_ms: u64,
    pub(crate) duration_ms: u64,
    pub(crate) behaviour: Behaviour,
    /// Times at which the leader is lost; the next one starts a second and a half later.
    pub(crate) leader_lost_ms: &'static [u64],
    /// Part of the hosts, in percent, that restart each second.
    pub(crate) restarts_percent: u32,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) state: Option<RolloutStatus>,
    pub(crate) decided_ms: u64,
    pub(crate) requests: u64,
    pub(crate) to_new: u64,
    pub(crate) first_bad_ms: Option<u64>,
    /// Attempts at old targets that were in flight when success was written.
    pub(crate) old_in_flight: u32,
    pub(crate) last_new_ms: u64,
}

fn settings() -> RolloutSettings {
    RolloutSettings {
        exposure_share: PartsPerMillion::new(100_000),
        exposure_slack: Requests::new(50),
        rollback: Duration::from_secs(5),
    }
}

pub(crate) fn back_end() -> BackEndId {
    "pay".parse().unwrap()
}

struct Running {
    ends_ms: u64,
    host: usize,
    route: usize,
    target: usize,
    is_new: bool,
    failed: bool,
    elapsed_ms: u64,
    guard: InFlightGuard,
}

pub(crate) fn target_id(is_new: bool, number: usize) -> TargetId {
    format!("{}-{number}", if is_new { "new" } else { "old" }).parse().unwrap()
}

/// Runs an order for a new version until some seconds after its time limit.
pub(crate) fn run(plan: Plan, seed: u64) -> Outcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let (v1, v2): (Arc<str>, Arc<str>) = ("v1".into(), "v2".into());
    let order = RolloutOrder {
        back_end: back_end(),
        to: v2.clone(),
        duration: Duration::from_millis(plan.duration_ms),
    };
    let at = |ms: u64| Instant::from_us(ms * 1_000);
    let new_host = |random: &mut ChaCha8Rng, row: &(Option<RolloutRow>, RowVersion)| {
        let mut host =
            HostRollout::new(back_end(), Duration::from_secs(1), random.random_range(0.0..1.0));
        host.set_order(Some(&order));
        host.set_row(row.0.clone(), row.1);
        host
    };
    let mut stored = (None, RowVersion::default());
    let mut fed = stored.clone();
    let mut feed: Vec<(u64, (Option<RolloutRow>, RowVersion))> = Vec::new();
    let mut hosts: Vec<HostRollout> =
        (0..plan.hosts).map(|_| new_host(&mut random, &stored)).collect();
    let names: Vec<NodeId> = (0..plan.hosts).map(|n| format!("n-{n}").parse().unwrap()).collect();
    let mut controller = None;
    let mut leader_from_ms = 0;
    let mut running: Vec<Running> = Vec::new();
    let mut outcome = Outcome::default();
    let mut due = 0.0;
    for now_ms in (0..plan.duration_ms + 4_000).step_by(STEP_MS as usize) {
        let now = at(now_ms);
        if plan.leader_lost_ms.contains(&now_ms) {
            controller = None;
            leader_from_ms = now_ms + 1_500;
        }
        if controller.is_none() && now_ms >= leader_from_ms {
            let mut started = RolloutController::new(now, back_end(), settings());
            started.set_order(Some(order.clone()));
            controller = Some(started);
        }
        while feed.first().is_some_and(|(ms, _)| *ms <= now_ms) {
            fed = feed.remove(0).1;
            hosts.iter_mut().for_each(|host| host.set_row(fed.0.clone(), fed.1));
        }
        if now_ms % 1_000 == 0 {
            for host in &mut hosts {
                if random.random_range(0..100) < plan.restarts_percent {
                    *host = new_host(&mut random, &fed);
                }
            }
        }
        let new_count = if now_ms >= plan.new_start_ms { plan.new } else { 0 };
        if let Some(controller) = &mut controller {
            let inventory = Inventory {
                versions: if new_count > 0 {
                    vec![v1.clone(), v2.clone()]
                } else {
                    vec![v1.clone()]
                },
                settled: false,
                new: (0..new_count)
                    .map(|number| NewTarget {
                        target: target_id(true, number),
                        zone: format!("z-{}", number % 3).parse().unwrap(),
                        cold: now_ms < plan.new_start_ms + COLD_MS,
                    })
                    .collect(),
                old: plan.old,
                keyed: false,
                old_owns_keys: false,
                hosts: names.clone(),
                longest_request: Duration::from_secs(2),
            };
            while let Some(action) = controller.tick(now, &inventory) {
                match action {
                    RolloutAction::ReadRow => {
                        let known = stored.clone();
                        controller.on_row(known.0.map(|row| (row, known.1)));
                    }
                    RolloutAction::ReadClock => {
                        controller.on_clock(now, StoreTime::from_ms(now_ms))
                    }
                    RolloutAction::WriteRow { row, expected, .. } => {
                        assert_eq!(expected, stored.1);
                        stored = (Some(row.clone()), RowVersion::new(stored.1.get() + 1));
                        feed.push((now_ms + FEED_MS, stored.clone()));
                        let phase = row.rollout.as_ref().map(|rollout| rollout.phase);
                        if phase.is_some_and(|phase| !phase.is_active()) {
                            outcome.decided_ms = now_ms;
                        }
                        if phase == Some(RolloutPhase::Succeeded) {
                            outcome.old_in_flight =
                                running.iter().filter(|attempt| !attempt.is_new).count() as u32;
                        }
                        controller.on_row_written(now, row, stored.1);
                    }
                    RolloutAction::WriteStatus(status) => {
                        outcome.state = Some(status.clone());
                        controller.on_status_written(status);
                    }
                }
            }
        }
        for index in 0..hosts.len() {
            let offset = (index as u64 * 37) % (REPORT_MS / STEP_MS) * STEP_MS;
            if now_ms % REPORT_MS != offset {
                continue;
            }
            let report = hosts[index].take_report();
            if let Some(controller) = &mut controller {
                if let Some(report) = report {
                    controller.on_report(now, &names[index], &report);
                }
                if let Some(directive) = controller.directive(now) {
                    hosts[index].set_directive(now, directive);
                }
            }
        }
        let (ended, left): (Vec<Running>, Vec<Running>) =
            running.into_iter().partition(|attempt| attempt.ends_ms <= now_ms);
        running = left;
        for Running { host, route, target, is_new, failed, elapsed_ms, guard, .. } in ended {
            drop(guard);
            hosts[host].on_answer(
                &ROUTES[route].parse().unwrap(),
                &target_id(is_new, target),
                if is_new { "v2" } else { "v1" },
                Duration::from_millis(elapsed_ms),
                failed,
                false,
            );
        }
        due += (plan.per_s * STEP_MS) as f64 / 1_000.0;
        while due >= 1.0 {
            due -= 1.0;
            let index = random.random_range(0..hosts.len());
            let host = &mut hosts[index];
            let usable = |class: VersionClass| -> Vec<usize> {
                let is_usable =
                    |id: &usize| class.includes(host.class(&target_id(true, *id), "v2"));
                (0..new_count).filter(is_usable).collect()
            };
            let [first, _] =
                host.choose(now, |class| class == VersionClass::Old || !usable(class).is_empty());
            let usable = usable(first.unwrap());
            // Cold targets take only a few requests a second.
            let cold = now_ms < plan.new_start_ms + COLD_MS;
            let is_new =
                first != Some(VersionClass::Old) && (!cold || random.random_range(0..10) == 0);
            let target = match is_new {
                true => usable[random.random_range(0..usable.len())],
                false => random.random_range(0..plan.old),
            };
            let route = usize::from(random.random_range(0..100) < 25);
            let chance = random.random_range(0.0..1.0);
            let (failed, factor) =
                (plan.behaviour)(Attempt { now_ms, is_new, target, route, chance });
            let elapsed_ms = factor * random.random_range(OLD_MS / 2..OLD_MS * 3 / 2);
            let guard = host.start_attempt(now, if is_new { &v2 } else { &v1 });
            outcome.requests += u64::from(now_ms < plan.duration_ms);
            outcome.to_new += u64::from(is_new);
            if is_new {
                outcome.last_new_ms = now_ms;
            }
            if is_new && (failed || factor > 4) && outcome.first_bad_ms.is_none() {
                outcome.first_bad_ms = Some(now_ms + elapsed_ms);
            }
            let ends_ms = now_ms + elapsed_ms;
            running.push(Running {
                ends_ms,
                host: index,
                route,
                target,
                is_new,
                failed,
                elapsed_ms,
                guard,
            });
        }
    }
    outcome
}
