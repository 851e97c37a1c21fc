//! Pipelined requests that run before earlier requests on their connection are answered.

use std::cell::RefCell;

use http::Response;
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
}

impl<G: Gateway> Default for PipelinedRequests<G> {
    fn default() -> Self {
        Self { running: RefCell::new(SortedVec::new()) }
    }
}

impl<G: Gateway + 'static> PipelinedRequests<G> {
    /// Starts a request, unless the limit on running requests is reached.
    pub(crate) fn start(
        &self,
        number: u64,
        request: impl Future<Output = PipelinedResult<G>> + 'static,
    ) {
        if self.running.borrow().len() < RUNNING_MAX {
            let running = RunningRequest(spawn_local(request));
            self.running.borrow_mut().insert(number, running);
        }
    }

    /// Waits for the result of a request; `None` if it was not started.
    pub(crate) async fn wait(&self, number: u64) -> PipelinedResult<G> {
        let mut running = self.running.borrow_mut().remove(&number)?;
        // The task is aborted only when the connection, which awaits it here, is dropped.
        (&mut running.0).await.ok().flatten()
    }
}
