//! Response bodies and JSON replies.

use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use http::{Response, StatusCode, header};
use http_body::{Body, Frame, SizeHint};
use serde::Serialize;
use tokio::sync::mpsc;

/// Body of a response, either complete or streamed by a task.
pub(crate) enum ReplyBody {
    /// The complete body; `None` if it is empty or was sent.
    Full(Option<Bytes>),
    /// Chunks from a task; the body is truncated if the task ends before `remaining` reaches zero.
    Streamed {
        /// Bytes of the body that were not sent yet.
        remaining: u64,
        /// Source of the chunks.
        chunks: mpsc::Receiver<Bytes>,
    },
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed { remaining: 0, .. } => Poll::Ready(None),
            Self::Streamed { remaining, chunks } => {
                Poll::Ready(Some(match ready!(chunks.poll_recv(context)) {
                    Some(chunk) => {
                        *remaining = remaining.saturating_sub(chunk.len() as u64);
                        Ok(Frame::data(chunk))
                    }
                    None => Err(io::Error::other("the body is truncated")),
                }))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None) | Self::Streamed { remaining: 0, .. })
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(match self {
            Self::Full(bytes) => bytes.as_ref().map_or(0, |bytes| bytes.len() as u64),
            Self::Streamed { remaining, .. } => *remaining,
        })
    }
}

/// A response of a stand-in.
pub(crate) type Reply = Response<ReplyBody>;

/// Error that makes the connection close without a response.
#[derive(Debug)]
pub(crate) struct CloseConnection;

impl std::fmt::Display for CloseConnection {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("connection closed without a response")
    }
}

impl std::error::Error for CloseConnection {}

impl From<Infallible> for CloseConnection {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

/// Returns a response with a body that is already encoded.
pub(crate) fn bytes(status: StatusCode, body: Bytes) -> Reply {
    let mut reply = Response::new(ReplyBody::Full((!body.is_empty()).then_some(body)));
    *reply.status_mut() = status;
    reply
}

/// Returns a response without a body.
pub(crate) fn empty(status: StatusCode) -> Reply {
    bytes(status, Bytes::new())
}

/// Returns a response with a JSON body.
pub(crate) fn json<T: Serialize>(status: StatusCode, body: &T) -> Reply {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut reply = bytes(status, body.into());
    let json = header::HeaderValue::from_static("application/json");
    reply.headers_mut().insert(header::CONTENT_TYPE, json);
    reply
}

/// Returns a response with the body `{"error": MESSAGE}`.
pub(crate) fn error(status: StatusCode, message: impl std::fmt::Display) -> Reply {
    json(status, &serde_json::json!({ "error": message.to_string() }))
}
