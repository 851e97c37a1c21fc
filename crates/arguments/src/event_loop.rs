//! Event loop of the binaries.

use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs a future to completion on a current-thread runtime, with a `LocalSet` for its tasks.
///
/// # Panics
///
/// Panics if the operating system does not provide the resources of the runtime.
pub fn run_event_loop<F: Future>(future: F) -> F::Output {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("creating a current-thread runtime should not fail");
    LocalSet::new().block_on(&runtime, future)
}
