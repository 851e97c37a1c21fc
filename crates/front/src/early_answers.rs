//! Pipelined requests that run before earlier requests on their connection are answered.

use std::cell::RefCell;

use http::Response;
use tokio::task::{JoinHandle, spawn_local};
use wagtailmoor_core::SortedVec;

use crate::answer_body::AnswerBody;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// Maximum number of pipelined requests of one connection that run concurrently.
const RUNNING_MAX: usize = 16;

/// Result of a pipelined request; `None` if it must not run before the earlier ones are answered.
pub(crate) type EarlyAnswer<G> = Option<Result<Response<AnswerBody<G>>, Refusal>>;

/// A running request; aborted on drop.
struct Running<G: Gateway>(JoinHandle<EarlyAnswer<G>>);

impl<G: Gateway> Drop for Running<G> {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Running pipelined requests of one connection by request number.
pub(crate) struct EarlyAnswers<G: Gateway> {
    running: RefCell<SortedVec<u64, Running<G>>>,
}

impl<G: Gateway> Default for EarlyAnswers<G> {
    fn default() -> Self {
        Self { running: RefCell::new(SortedVec::new()) }
    }
}

impl<G: Gateway + 'static> EarlyAnswers<G> {
    /// Starts a request, unless the limit on running requests is reached.
    pub(crate) fn start(
        &self,
        number: u64,
        request: impl Future<Output = EarlyAnswer<G>> + 'static,
    ) {
        if self.running.borrow().len() < RUNNING_MAX {
            let running = Running(spawn_local(request));
            self.running.borrow_mut().insert(number, running);
        }
    }

    /// Waits for the result of a request; `None` if it was not started.
    pub(crate) async fn take(&self, number: u64) -> EarlyAnswer<G> {
        let mut running = self.running.borrow_mut().remove(&number)?;
        // The task is aborted only when the connection, which awaits it here, is dropped.
        (&mut running.0).await.ok().flatten()
    }
}
