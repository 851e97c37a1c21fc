//! A keyed or pooled target.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time;
use wagtailmoor_core::{Clock, Instant};

use crate::cold::WarmUpState;
use crate::connections::Connections;
use crate::fault_switches::FaultSwitches;
use crate::key_store::WorkingSet;
use crate::load_report::ReportHistory;
use crate::patch::patched;
use crate::slots::Slots;
use crate::{
    Context, Grants, HostState, LoadReport, LoadState, Platform, TargetEntry, TargetSettings,
    Violation,
};

/// Handle of a running target.
#[derive(Clone)]
pub struct Target {
    state: Rc<TargetState>,
}

pub(crate) struct TargetState {
    pub(crate) address: SocketAddr,
    pub(crate) context: Context,
    pub(crate) settings: RefCell<TargetSettings>,
    pub(crate) faults: Rc<FaultSwitches>,
    pub(crate) connections: Connections,
    /// Requests that continue when their connections close.
    pub(crate) detached: Connections,
    pub(crate) slots: Rc<Slots>,
    pub(crate) grants: RefCell<Grants>,
    pub(crate) finished: Notify,
    pub(crate) warm_up_state: Cell<WarmUpState>,
    pub(crate) draining: Cell<bool>,
    pub(crate) reports: RefCell<ReportHistory>,
    pub(crate) working_set: WorkingSet,
    platform: Option<Platform>,
}

impl Target {
    /// Binds the listener, serves it on the current `LocalSet` and adds the target to the host
    /// list of the platform, if one is given.
    pub async fn bind(
        settings: TargetSettings,
        context: &Context,
        platform: Option<&Platform>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let warm_up_state = match settings.cold.at_start {
            true => WarmUpState::Cold(None),
            false => WarmUpState::Warm,
        };
        let state = Rc::new(TargetState {
            address: listener.local_addr()?,
            context: context.clone(),
            settings: RefCell::new(settings),
            faults: Rc::default(),
            connections: Connections::default(),
            detached: Connections::default(),
            slots: Rc::default(),
            grants: RefCell::default(),
            finished: Notify::new(),
            warm_up_state: Cell::new(warm_up_state),
            draining: Cell::new(false),
            reports: RefCell::default(),
            working_set: WorkingSet::default(),
            platform: platform.cloned(),
        });
        state.add_to_host_list();
        tokio::task::spawn_local(serve(listener, state.clone()));
        Ok(Self { state })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns the current settings.
    pub fn settings(&self) -> TargetSettings {
        self.state.settings.borrow().clone()
    }

    /// Replaces the given fields of the settings.
    pub fn patch(&self, changes: &Value) -> Result<(), serde_json::Error> {
        let settings = patched(&*self.state.settings.borrow(), changes)?;
        *self.state.settings.borrow_mut() = settings;
        Ok(())
    }

    /// Closes all connections and the listener. The target restarts cold after `downtime`, or when
    /// `restart` is called.
    pub fn crash(&self, downtime: Option<Duration>) {
        self.state.crash(downtime);
    }

    /// Restarts a crashed target.
    pub fn restart(&self) {
        self.state.faults.bring_up();
    }

    /// Suspends all requests, until `thaw` if no time is given.
    pub fn freeze(&self, time: Option<Duration>) {
        self.state.faults.freeze(time);
    }

    /// Resumes the suspended requests.
    pub fn thaw(&self) {
        self.state.faults.thaw();
    }

    /// Returns the number of requests that are waiting for the end of a freeze.
    pub fn blocked_count(&self) -> u32 {
        self.state.faults.blocked_count()
    }

    /// Puts the target back at the start of its warm-up.
    pub fn revert_to_cold(&self) {
        self.state.warm_up_state.set(WarmUpState::Cold(None));
    }

    /// Ends the warm-up.
    pub fn warm_up(&self) {
        self.state.warm_up_state.set(WarmUpState::Warm);
    }

    /// Sets whether the target reports that it is draining.
    pub fn drain(&self, draining: bool) {
        self.state.draining.set(draining);
    }

    /// Starts draining and sets the state in the host list to `leaving`; stops the target and
    /// removes it from the list after the given time.
    pub fn leave(&self, after: Duration) {
        self.state.draining.set(true);
        let id = self.settings().target;
        self.state.change_hosts(|hosts, now| hosts.mark_leaving(now, &id));
        let state = self.state.clone();
        tokio::task::spawn_local(async move {
            time::sleep(after).await;
            state.crash(None);
            state.change_hosts(|hosts, now| hosts.remove_target(now, &id));
        });
    }

    /// Restarts a target that left and adds it to the host list again.
    pub fn join(&self) {
        self.state.draining.set(false);
        self.state.faults.bring_up();
        self.state.add_to_host_list();
    }

    /// Returns the current load, without the delay or falsification of its reports.
    pub fn load(&self) -> LoadReport {
        self.state.current_load()
    }

    pub(crate) fn status(&self) -> Value {
        let state = &self.state;
        json!({
            "address": state.address.to_string(),
            "load": state.current_load(),
            "connections": state.connections.count(),
            "away": state.faults.is_down(),
            "frozen": state.faults.is_frozen(),
            "held": state.faults.blocked_count(),
            "settings": self.settings(),
        })
    }
}

impl TargetState {
    pub(crate) fn now(&self) -> Instant {
        self.context.clock().now()
    }

    pub(crate) fn crash(&self, downtime: Option<Duration>) {
        self.faults.take_down(downtime);
        self.connections.close_all();
        self.detached.close_all();
        self.grants.borrow_mut().reset();
        self.warm_up_state.set(WarmUpState::Cold(None));
    }

    pub(crate) fn current_load(&self) -> LoadReport {
        let settings = self.settings.borrow();
        let cold = self.concurrency_limit().is_some();
        let state = match self.draining.get() {
            true => LoadState::Draining,
            false if cold => LoadState::Cold,
            false => LoadState::Warm,
        };
        LoadReport {
            state,
            running: self.slots.running(),
            slots: settings.slots,
            queued: self.slots.waiting(),
            age_ms: 0,
        }
    }

    /// Returns the number of concurrent requests that the target can handle while it is cold; `None`
    /// if it is warm.
    pub(crate) fn concurrency_limit(&self) -> Option<u32> {
        let settings = self.settings.borrow();
        let mut warm_up_state = self.warm_up_state.get();
        let concurrency_limit =
            warm_up_state.concurrency_limit(self.now(), &settings.cold, settings.slots);
        self.warm_up_state.set(warm_up_state);
        concurrency_limit
    }

    pub(crate) fn record_load(&self) {
        self.reports.borrow_mut().record(self.now(), self.current_load());
    }

    pub(crate) fn record_violation(&self, kind: &str, detail: String) {
        self.context.log().record_violation(Violation {
            target: self.settings.borrow().target.to_string(),
            kind: kind.to_owned(),
            detail,
            at_us: self.context.clock().unix_us(),
        });
    }

    fn change_hosts(&self, change: impl FnOnce(&mut crate::HostList, Instant)) {
        if let Some(platform) = &self.platform {
            platform.change_hosts(change);
        }
    }

    fn add_to_host_list(&self) {
        let settings = self.settings.borrow();
        let entry = TargetEntry {
            target: settings.target.clone(),
            back_end: settings.back_end.clone(),
            zone: settings.zone.clone(),
            address: self.address.to_string(),
            state: HostState::Live,
        };
        self.change_hosts(|hosts, now| hosts.put_target(now, entry));
    }
}

async fn serve(listener: TcpListener, state: Rc<TargetState>) {
    let mut listener = Some(listener);
    loop {
        if let Some(listener) = listener.take() {
            accept_until_down(listener, &state).await;
        }
        state.faults.wait_until_up().await;
        listener = rebind(state.address).await;
    }
}

async fn accept_until_down(listener: TcpListener, state: &Rc<TargetState>) {
    loop {
        let accepted = tokio::select! {
            () = state.faults.wait_until_down() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (max_connections, cost_us) = {
            let settings = state.settings.borrow();
            (settings.connections, settings.connection_cost_us)
        };
        let open = state.connections.count();
        if open >= max_connections as usize {
            state.record_violation(
                "connections",
                format!("{open} connections open, {max_connections} allowed"),
            );
            continue;
        }
        state.connections.serve(stream, state.clone(), Duration::from_micros(cost_us));
    }
}

/// Binds the address again. Returns `None` after a pause if that fails, because another process may
/// use an ephemeral port for a while.
async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            log::warn!("event=rebind-failed address={address} error={error}");
            time::sleep(Duration::from_millis(50)).await;
            None
        }
    }
}
