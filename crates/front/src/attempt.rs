//! Connects to a target and sends one attempt.

use std::net::SocketAddr;
use std::rc::Rc;

use http::{Request, Response, StatusCode};
use tokio::time::sleep;
use wagtailmoor_core::{Epoch, SlotId, TargetId};
use wagtailmoor_dispatch::ResponseHead;

use crate::body::RequestBody;
use crate::dialect::Dialect;
use crate::gateway::{Call, Gateway};
use crate::pool::{self, Connection, SharedPool};
use crate::response_buffers::{BufferReservation, ResponseBuffers};
use crate::target_body::TargetBody;

/// The target of an attempt and its address.
#[derive(Clone, Debug)]
pub(crate) struct Destination {
    pub(crate) target: TargetId,
    pub(crate) address: SocketAddr,
    pub(crate) ownership: Option<(SlotId, Epoch)>,
}

/// Takes an idle connection to a target from the pool or opens a new one.
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
            let meter = gateway.traffic_meter(call, &destination.target);
            let connection =
                pool::open(destination.address, Some(permit), single_use, meter).await?;
            check_new_connection::<G>(connection).await
        }
    }
}

/// Waits for [`Dialect::NEW_CONNECTION_DELAY`]; returns `None` if the target closed the connection.
async fn check_new_connection<G: Gateway>(
    connection: Connection<G::ConnectionPermit>,
) -> Option<Connection<G::ConnectionPermit>> {
    if !G::Dialect::NEW_CONNECTION_DELAY.is_zero() {
        sleep(G::Dialect::NEW_CONNECTION_DELAY).await;
    }
    (!connection.sender.is_closed()).then_some(connection)
}

/// Result of sending an attempt.
pub(crate) enum SendResult<P> {
    /// A response to this request was received, at least its head.
    Head(ResponseHead, Box<Response<TargetBody>>, Connection<P>),
    /// The connection was closed before any byte of the request was written; returns its body.
    Unsent(RequestBody),
    /// The connection failed, or the response does not belong to this request.
    Lost,
}

/// Returns whether a status is valid as the final one of a response. Hyper rejects statuses that are
/// no number of three digits from 100 on, and skips interim ones other than 101.
fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Sends a request and waits for the response head and the part of the body that is buffered.
pub(crate) async fn send<G: Gateway>(
    gateway: &G,
    call: &Call,
    mut connection: Connection<G::ConnectionPermit>,
    request: Request<RequestBody>,
    buffers: &Rc<ResponseBuffers>,
) -> SendResult<G::ConnectionPermit> {
    let response = match connection.sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut error) => {
            return match error.take_message() {
                Some(request) => SendResult::Unsent(request.into_body()),
                None => SendResult::Lost,
            };
        }
    };
    connection.set_idle_timeout(response.headers());
    let (parts, body) = response.into_parts();
    // The target has run the request or not; its response does not tell.
    if !is_final(parts.status) {
        return SendResult::Lost;
    }
    let used = connection.was_used();
    let head = gateway.dialect().response_head(call, parts.status, &parts.headers, used);
    // A body that does not belong to this request may never end, so it is not read.
    let Some(head) = head else { return SendResult::Lost };
    let reservation = BufferReservation::new(buffers);
    let body = match head.not_run {
        true => Some(TargetBody::read_refusal(body, reservation).await),
        false => TargetBody::read(body, G::Dialect::RESPONSE_BUFFER_MAX_BYTES, reservation).await,
    };
    match body {
        Some(body) => {
            SendResult::Head(head, Box::new(Response::from_parts(parts, body)), connection)
        }
        None => SendResult::Lost,
    }
}
