//! I/O of one attempt.

use std::net::SocketAddr;

use http::{Request, Response};
use tokio::time::sleep;
use wagtailmoor_core::{Epoch, SlotId, TargetId};
use wagtailmoor_dispatch::ResponseHead;

use crate::body::RequestBody;
use crate::dialect::Dialect;
use crate::gateway::{Call, Gateway};
use crate::pool::{self, Connection, SharedPool};
use crate::target_body::TargetBody;

/// Where an attempt goes.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) ownership: Option<(SlotId, Epoch)>,
}

/// Takes an idle connection to a target or opens one.
pub(crate) async fn connect<G: Gateway>(
    gateway: &G,
    pool: &SharedPool<G::ConnectionPermit>,
    call: &Call,
    destination: &Destination,
) -> Option<Connection<G::ConnectionPermit>> {
    let idle = match call.fresh_connection {
        true => None,
        false => pool.take(destination.address),
    };
    match idle {
        Some(connection) => Some(connection),
        None => {
            let permit = gateway.connection_permit(call, &destination.target).await?;
            let single_use = call.fresh_connection;
            let connection = pool::open(destination.address, Some(permit), single_use).await?;
            settle::<G>(connection).await
        }
    }
}

/// Watches a new connection, or returns `None` if the target closes it.
async fn settle<G: Gateway>(
    connection: Connection<G::ConnectionPermit>,
) -> Option<Connection<G::ConnectionPermit>> {
    if !G::Dialect::CONNECTION_SETTLE.is_zero() {
        sleep(G::Dialect::CONNECTION_SETTLE).await;
    }
    (!connection.sender.is_closed()).then_some(connection)
}

/// Result of sending a request.
pub(crate) enum Sent<P> {
    /// The head of a response to this request arrived.
    Head(ResponseHead, Box<Response<TargetBody>>, Connection<P>),
    /// The connection was closed before a byte of the request was written.
    Unsent,
    /// The connection failed, or what came is no answer to this request.
    Lost,
}

/// Sends a request and waits for the response head, and for the body as far as it is kept.
pub(crate) async fn send<G: Gateway>(
    gateway: &G,
    call: &Call,
    mut connection: Connection<G::ConnectionPermit>,
    request: Request<RequestBody>,
) -> Sent<G::ConnectionPermit> {
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(_) => Sent::Unsent,
                None => Sent::Lost,
            };
        }
    };
    connection.note_idle_timeout(response.headers());
    let (parts, body) = response.into_parts();
    let used = connection.was_used();
    let head = gateway.dialect().response_head(call, parts.status, &parts.headers, used);
    // The body of what is no answer may have no end, so it is not waited for.
    let Some(head) = head else { return Sent::Lost };
    let body = match head.not_run {
        true => Some(TargetBody::read_refusal(body).await),
        false => TargetBody::read(body, G::Dialect::ANSWER_KEPT_MAX_BYTES).await,
    };
    match body {
        Some(body) => Sent::Head(head, Box::new(Response::from_parts(parts, body)), connection),
        None => Sent::Lost,
    }
}
