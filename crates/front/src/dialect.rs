//! Translation between header fields and the types of the front end.

use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use http_body_util::Full;
use wagtailmoor_core::{Epoch, SlotId, TargetId};
use wagtailmoor_dispatch::{AttemptId, ResponseHead};

use crate::gateway::{Call, RequestHead};
use crate::refusal::Refusal;

/// Data that is encoded into the request head of one attempt.
#[derive(Clone, Debug)]
pub struct AttemptHead<'a> {
    /// The client request.
    pub call: &'a Call,
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Target that the attempt is sent to.
    pub target: &'a TargetId,
    /// Slot and epoch under which the target owns the key.
    pub ownership: Option<(SlotId, Epoch)>,
    /// Time until the deadline of the request.
    pub remaining: Duration,
}

/// Encodes and decodes the header fields exchanged with clients and targets.
///
/// A dialect makes no decisions: it only translates between header fields and the types of this
/// crate.
pub trait Dialect {
    /// Load report that a target adds to its responses.
    type Load;

    /// Responses up to this size are buffered completely before they are forwarded, so that an
    /// idempotent request can be retried when the response is truncated.
    const RESPONSE_BUFFER_MAX_BYTES: usize;

    /// Delay between opening a connection and sending the first request on it. Targets with too
    /// many connections accept another one and reset it at once. The delay lets the reset arrive
    /// first, because a request that was already sent might have run.
    const NEW_CONNECTION_DELAY: Duration;

    /// Whether a pipelined idempotent request runs before earlier requests on its connection are
    /// answered.
    const RUNS_PIPELINED_EARLY: bool;

    /// Decodes the head of a client request.
    ///
    /// # Errors
    ///
    /// A header field is malformed.
    fn request_head<'a>(&self, parts: &'a Parts) -> Result<RequestHead<'a>, Refusal>;

    /// Removes the fields that clients may not send to targets and adds those of this system.
    fn translate_request(&self, headers: &mut HeaderMap, call: &Call);

    /// Adds the fields that differ between attempts.
    fn add_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>);

    /// Decodes the head of a response, or returns `None` if it does not belong to this request. On
    /// a connection that was `used` before, it may be a late response to an earlier request.
    fn response_head(
        &self,
        call: &Call,
        status: StatusCode,
        headers: &HeaderMap,
        used: bool,
    ) -> Option<ResponseHead>;

    /// Decodes the load report in a response, if there is one.
    fn load_report(&self, headers: &HeaderMap) -> Option<Self::Load>;

    /// Removes private fields from a target's response and adds those for the client.
    fn translate_response(&self, headers: &mut HeaderMap);

    /// Encodes a refusal as an HTTP response.
    fn refusal(&self, refusal: &Refusal) -> Response<Full<Bytes>>;
}
