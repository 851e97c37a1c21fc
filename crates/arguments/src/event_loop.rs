//! The event loop of a binary.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to its end on one thread, with a `LocalSet` for its tasks.
///
/// # Panics
///
/// The kernel gives the process no event loop.
pub fn run_event_loop<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a current-thread runtime needs only a working kernel");
    LocalSet::new().block_on(&runtime, future)
}
