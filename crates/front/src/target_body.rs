//! Reads the bodies of target responses.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use tokio::time::timeout;

use crate::response_buffers::BufferReservation;

/// Refusals have a short body or none; the connection of a longer one is closed.
const REFUSAL_MAX_BYTES: usize = 4 * 1024;

/// The retry of a refused attempt waits for the body of the refusal. A new connection takes about
/// as long as this timeout.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(20);

/// Result of reading a body up to a size limit.
enum ReadResult {
    Complete,
    LimitReached,
    Truncated,
}

async fn collect(
    body: &mut Incoming,
    buffer: &mut BytesMut,
    max_bytes: usize,
    reservation: &mut BufferReservation,
) -> ReadResult {
    let mut has_memory = true;
    while has_memory && buffer.len() < max_bytes {
        match body.frame().await {
            Some(Ok(frame)) => {
                let received = frame.into_data().unwrap_or_default();
                has_memory = reservation.add(received.len());
                buffer.extend_from_slice(&received);
            }
            Some(Err(_)) => return ReadResult::Truncated,
            None => return ReadResult::Complete,
        }
    }
    ReadResult::LimitReached
}

/// The body of a target's response.
pub(crate) enum TargetBody {
    /// Read completely.
    Complete {
        /// The whole body.
        body: Full<Bytes>,
        /// Memory of the body.
        _reservation: BufferReservation,
    },
    /// Forwarded as it arrives, after the bytes that were already read.
    Streamed {
        /// Bytes that were already read.
        prefix: Option<Bytes>,
        /// The unread part.
        rest: Incoming,
        /// Memory of the bytes that were already read.
        _reservation: BufferReservation,
    },
}

impl TargetBody {
    /// Reads a body up to a size limit, or returns `None` if it is truncated before that. Less is
    /// read if all buffered responses together take too much memory.
    pub(crate) async fn read(
        mut body: Incoming,
        max_bytes: usize,
        mut reservation: BufferReservation,
    ) -> Option<Self> {
        let mut buffer = BytesMut::new();
        match collect(&mut body, &mut buffer, max_bytes, &mut reservation).await {
            ReadResult::Complete => Some(Self::complete(buffer, reservation)),
            ReadResult::LimitReached => Some(Self::streamed(buffer, body, reservation)),
            ReadResult::Truncated => None,
        }
    }

    /// Reads the short body of a refusal, so that the connection can be used again. A body that is
    /// longer or arrives too late is not read to its end, and its connection is closed.
    pub(crate) async fn read_refusal(
        mut body: Incoming,
        mut reservation: BufferReservation,
    ) -> Self {
        let mut buffer = BytesMut::new();
        let read = collect(&mut body, &mut buffer, REFUSAL_MAX_BYTES, &mut reservation);
        match timeout(REFUSAL_TIMEOUT, read).await {
            Ok(ReadResult::Complete) => Self::complete(buffer, reservation),
            _ => Self::streamed(buffer, body, reservation),
        }
    }

    fn complete(buffer: BytesMut, reservation: BufferReservation) -> Self {
        Self::Complete { body: Full::new(buffer.freeze()), _reservation: reservation }
    }

    fn streamed(buffer: BytesMut, rest: Incoming, reservation: BufferReservation) -> Self {
        let prefix = Some(buffer.freeze()).filter(|bytes| !bytes.is_empty());
        Self::Streamed { prefix, rest, _reservation: reservation }
    }

    /// Returns whether the body was read completely.
    pub(crate) fn is_complete(&self) -> bool {
        matches!(self, Self::Complete { .. })
    }
}

impl Body for TargetBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        match self.get_mut() {
            Self::Complete { body, .. } => {
                Pin::new(body).poll_frame(context).map_err(|never| match never {})
            }
            Self::Streamed { prefix, rest, .. } => match prefix.take() {
                Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                None => Pin::new(rest).poll_frame(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Complete { body, .. } => body.is_end_stream(),
            Self::Streamed { prefix, rest, .. } => prefix.is_none() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete { body, .. } => body.size_hint(),
            Self::Streamed { prefix: None, rest, .. } => rest.size_hint(),
            Self::Streamed { prefix: Some(bytes), rest, .. } => {
                let mut hint = rest.size_hint();
                let read = bytes.len() as u64;
                if let Some(upper) = hint.upper() {
                    hint.set_upper(upper + read);
                }
                hint.set_lower(hint.lower() + read);
                hint
            }
        }
    }
}
