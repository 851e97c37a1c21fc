//! Server loop and call context shared by all `tarpc` services.

use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::{StreamExt, future};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tarpc::context::{self, Context};
use tarpc::serde_transport::tcp;
use tarpc::server::{BaseChannel, Channel, Serve};
use tarpc::tokio_serde::formats::Bincode;
use tokio::task::spawn_local;

/// Serves all connections to an address on the current `LocalSet` until `stopped` completes.
/// Returns the address that was bound.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn listen<S>(
    address: SocketAddr,
    frame_max_bytes: usize,
    server: S,
    stopped: impl Future<Output = ()> + 'static,
) -> io::Result<SocketAddr>
where
    S: Serve + Clone + 'static,
    S::Req: DeserializeOwned + Unpin + 'static,
    S::Resp: Serialize + Unpin + 'static,
{
    let mut incoming = tcp::listen(address, Bincode::default).await?;
    incoming.config_mut().max_frame_length(frame_max_bytes);
    let bound = incoming.local_addr();
    spawn_local(async move {
        let accepted = incoming.filter_map(|transport| future::ready(transport.ok()));
        let (mut accepted, mut stopped) = (std::pin::pin!(accepted), std::pin::pin!(stopped));
        loop {
            let transport = tokio::select! {
                () = &mut stopped => return,
                next = accepted.next() => next,
            };
            let Some(transport) = transport else { return };
            let channel = BaseChannel::with_defaults(transport);
            spawn_local(channel.execute(server.clone()).for_each(|response| {
                spawn_local(response);
                future::ready(())
            }));
        }
    });
    Ok(bound)
}

/// Returns the context of a call that times out after `timeout`.
pub fn context_with_timeout(timeout: Duration) -> Context {
    let mut context = context::current();
    context.deadline = Instant::now() + timeout;
    context
}
