//! Pipelined requests that run before earlier requests on their connection are answered.

use std::cell::{Cell, RefCell};

use http::Response;
use tokio::sync::Notify;
use tokio::task::{JoinHandle, spawn_local};
use wagtailmoor_core::SortedVec;

use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::response_body::ResponseBody;

/// Maximum number of pipelined requests of one connection that run concurrently.
const RUNNING_MAX: usize = 16;

/// Result of a pipelined request; `None` if it must not run before the earlier ones are answered.
pub(crate) type PipelinedResult<G> = Option<Result<Response<ResponseBody<G>>, Refusal>>;

/// A running request; aborted on drop.
struct RunningRequest<G: Gateway>(JoinHandle<PipelinedResult<G>>);

impl<G: Gateway> Drop for RunningRequest<G> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Running pipelined requests of one connection by request number.
pub(crate) struct PipelinedRequests<G: Gateway> {
    running: RefCell<SortedVec<u64, RunningRequest<G>>>,
    /// Whether no further requests are started.
    closed: Cell<bool>,
    /// Notified when the last running request is awaited.
    last_awaited: Notify,
}

impl<G: Gateway> Default for PipelinedRequests<G> {
    fn default() -> Self {
        Self {
            running: RefCell::new(SortedVec::new()),
            closed: Cell::new(false),
            last_awaited: Notify::new(),
        }
    }
}

impl<G: Gateway + 'static> PipelinedRequests<G> {
    /// Starts a request, unless the limit on running requests is reached or this is closed.
    pub(crate) fn start(
        &self,
        number: u64,
        request: impl Future<Output = PipelinedResult<G>> + 'static,
    ) {
        if !self.closed.get() && self.running.borrow().len() < RUNNING_MAX {
            let running = RunningRequest(spawn_local(request));
            self.running.borrow_mut().insert(number, running);
        }
    }

    /// Waits for the result of a request; `None` if it was not started.
    pub(crate) async fn wait(&self, number: u64) -> PipelinedResult<G> {
        let mut running = self.running.borrow_mut().remove(&number)?;
        if self.running.borrow().is_empty() {
            self.last_awaited.notify_one();
        }
        // The task is aborted only when the connection, which awaits it here, is dropped.
        (&mut running.0).await.ok().flatten()
    }

    /// Starts no further requests.
    pub(crate) fn close(&self) {
        self.closed.set(true);
    }

    /// Returns whether the connection may end after the current response: no further requests are
    /// started, and none waits for its response.
    pub(crate) fn is_finished(&self) -> bool {
        self.closed.get() && self.running.borrow().is_empty()
    }

    /// Waits until no running request is left that is not awaited.
    pub(crate) async fn all_awaited(&self) {
        while !self.running.borrow().is_empty() {
            self.last_awaited.notified().await;
        }
    }
}
