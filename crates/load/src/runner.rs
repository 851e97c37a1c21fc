//! Runs a scenario.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use indicatif::{ProgressBar, ProgressStyle};
use tokio::task::{JoinSet, spawn_local};
use tokio::time;
use wagtailmoor_core::Outcome;
use wagtailmoor_history::{ClientRequest, CustomerLimit, History, ResponseCheck};

use crate::clock::RunClock;
use crate::connection_pool::ConnectionPool;
use crate::control_client::ControlClient;
use crate::exchange::{Credentials, Exchange};
use crate::plan::{PlannedRequest, plan};
use crate::timeline::{StepResult, Timeline};
use crate::{RunFacts, Scenario, Step};

/// Wait between the last response and the read of the execution log, so that work whose connection
/// was closed has ended.
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// Addresses that a scenario is run against.
#[derive(Clone, Debug)]
pub struct RunEndpoints {
    /// Client addresses of entry processes, or addresses of targets if `as_entry` is set.
    pub entries: Vec<SocketAddr>,
    /// Address of the control interface of the stand-ins, if they are used.
    pub control: Option<SocketAddr>,
    /// Whether `entries` are addresses of targets. If so, the load generator adds the headers that
    /// an entry process adds to each request.
    pub as_entry: bool,
}

/// Result of a run.
#[derive(Clone, Debug)]
pub struct RunResult {
    /// Requests of clients, and executions if a control interface was given.
    pub history: History,
    /// Facts that are not part of the history.
    pub facts: RunFacts,
}

struct Run {
    scenario: Scenario,
    clock: RunClock,
    pools: Vec<Rc<ConnectionPool>>,
    as_entry: bool,
    records: RefCell<Vec<ClientRequest>>,
    in_progress: Cell<u32>,
    overflow: Cell<u64>,
    progress: ProgressBar,
}

/// Runs a scenario on the current `LocalSet`. The run ends after its duration and after the last
/// request and step. Calls `announce` for each announced step at its time.
pub async fn run(
    scenario: Scenario,
    endpoints: &RunEndpoints,
    announce: impl Fn(&Step) + 'static,
) -> io::Result<RunResult> {
    let control = endpoints.control.map(ControlClient::new);
    let first_execution = match &control {
        Some(control) => control.count().await?,
        None => 0,
    };
    let plan = plan(&scenario);
    let run = Rc::new(Run::new(scenario, endpoints, plan.len()));
    let timeline = Timeline::new(&run.scenario.timeline, control, run.clock, announce);
    let steps = spawn_local(timeline.run());
    let planned = plan.len() as u64;
    run.clone().send_all(plan).await;
    let timeline = steps.await.map_err(io::Error::other)?;
    time::sleep(SETTLE_TIME).await;
    run.progress.finish_and_clear();
    let mut history = run.history();
    history.withdrawals = timeline.withdrawals;
    if let Some(control) = control {
        history.executions = control.executions(first_execution).await?;
        history.violations = control.violations(run.clock.started_us()).await?;
    }
    Ok(RunResult { history, facts: run.facts(planned, timeline.steps) })
}

impl Run {
    fn new(scenario: Scenario, endpoints: &RunEndpoints, planned: usize) -> Self {
        let entries = endpoints.entries.iter();
        let pools = entries.map(|entry| ConnectionPool::new(*entry, scenario.connections));
        Self {
            pools: pools.collect(),
            scenario,
            clock: RunClock::start(),
            as_entry: endpoints.as_entry,
            records: RefCell::default(),
            in_progress: Cell::new(0),
            overflow: Cell::new(0),
            progress: progress_bar(planned as u64),
        }
    }

    async fn send_all(self: Rc<Self>, plan: Vec<PlannedRequest>) {
        let mut exchanges = JoinSet::new();
        for (index, planned) in plan.into_iter().enumerate() {
            time::sleep_until(self.clock.instant_at(planned.at_us)).await;
            self.progress.inc(1);
            while exchanges.try_join_next().is_some() {}
            if self.in_progress.get() >= self.scenario.max_in_progress.get() {
                self.overflow.set(self.overflow.get() + 1);
                continue;
            }
            self.in_progress.set(self.in_progress.get() + 1);
            exchanges.spawn_local(self.clone().send(index, planned));
        }
        while exchanges.join_next().await.is_some() {}
    }

    async fn send(self: Rc<Self>, index: usize, planned: PlannedRequest) {
        let exchange = self.exchange(index, &planned);
        // Spreads requests over the entry processes as a load balancer does, and skips those that
        // refuse connections.
        let mut pools = self.pools.clone();
        pools.rotate_left(index % self.pools.len().max(1));
        let record = exchange.run(&pools, self.clock).await;
        self.records.borrow_mut().push(record);
        self.in_progress.set(self.in_progress.get() - 1);
    }

    fn exchange(&self, index: usize, planned: &PlannedRequest) -> Exchange {
        let workload = &self.scenario.workloads[planned.workload];
        let customer = &self.scenario.customers[planned.customer];
        let started_us = self.clock.started_us();
        let expected_bytes = Some(workload.answer_bytes.get()).filter(|bytes| *bytes > 0);
        let record = ClientRequest {
            load_id: format!("{started_us:x}-{index}"),
            customer: Some(customer.customer.to_string()),
            method: workload.method.clone(),
            path: workload.path_and_query(planned.key.as_deref(), planned.number),
            workload: workload.name.value.clone(),
            idempotency_key: planned
                .idempotency_number
                .map(|number| format!("{started_us:x}-{}-{number}", planned.workload)),
            key: planned.key.clone(),
            intended_us: started_us + planned.at_us,
            start_us: 0,
            end_us: 0,
            status: None,
            outcome: Outcome::Unknown,
            reason: None,
            check: ResponseCheck::None,
            value: None,
            target: None,
            bytes: 0,
        };
        Exchange {
            record,
            credentials: match self.as_entry {
                true => Credentials::AsEntry(customer.customer.to_string()),
                false => Credentials::Key(customer.key.clone()),
            },
            timeout: Duration::from_millis(workload.timeout_ms),
            body: Bytes::from(vec![b'x'; workload.body_bytes.get() as usize]),
            expected_bytes,
            read_bytes_per_s: workload.read_bytes_per_s.get(),
        }
    }

    fn history(&self) -> History {
        let limit = |customer: &crate::Customer| CustomerLimit {
            customer: customer.customer.to_string(),
            rate: customer.rate,
            burst: customer.burst,
        };
        let mut requests = self.records.take();
        requests.sort_by_key(|request| request.intended_us);
        History {
            customers: self.scenario.customers.iter().map(limit).collect(),
            requests,
            ..History::default()
        }
    }

    fn facts(&self, planned: u64, steps: Vec<StepResult>) -> RunFacts {
        RunFacts {
            scenario: self.scenario.name.clone(),
            seed: self.scenario.seed,
            started_us: self.clock.started_us(),
            duration_ms: self.scenario.duration_ms.value,
            planned,
            overflow: self.overflow.get(),
            connections_opened: self.pools.iter().map(|pool| pool.opened()).sum(),
            steps,
        }
    }
}

/// Returns a progress bar, which is drawn on terminals only.
fn progress_bar(planned: u64) -> ProgressBar {
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} {per_sec} {msg}");
    let bar = ProgressBar::new(planned);
    match style {
        Ok(style) => bar.with_style(style),
        Err(_) => bar,
    }
}
