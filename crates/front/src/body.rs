//! Request bodies: buffered for a retry if short, streamed otherwise.

use std::borrow::Cow;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use snafu::Snafu;
use tokio::time::{Sleep, sleep, timeout};

use crate::transfer::{BodyGuard, Transfer};

/// Bodies up to this size are buffered, so that an idempotent request can be retried.
const REPLAY_BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Why a request body could not be read to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub(crate) enum ClientFault {
    /// The connection failed or broke the protocol.
    #[snafu(display("the client's connection failed"))]
    Disconnected,
    /// No bytes arrived within the idle timeout.
    #[snafu(display("the client's body stalled"))]
    Stalled,
}

/// Set by a streamed body when its client fails, so that the failure is not attributed to the
/// target.
pub(crate) type FaultCell = Rc<Cell<Option<ClientFault>>>;

/// A request body as it is sent to a target.
pub(crate) struct RequestBody {
    content: Content,
    guard: BodyGuard,
}

enum Content {
    /// Buffered in memory.
    Kept(Full<Bytes>),
    /// Forwarded as it arrives.
    Streamed(StreamedBody),
}

impl RequestBody {
    /// Returns a body that is buffered in memory.
    pub(crate) fn kept(bytes: Bytes, transfer: &Rc<Transfer>) -> Self {
        Self::new(Content::Kept(bytes.into()), transfer)
    }

    /// Returns a body that is forwarded as it arrives.
    pub(crate) fn streamed(body: StreamedBody, transfer: &Rc<Transfer>) -> Self {
        Self::new(Content::Streamed(body), transfer)
    }

    fn new(content: Content, transfer: &Rc<Transfer>) -> Self {
        let guard = transfer.start(!content.is_end_stream());
        Self { content, guard }
    }

    /// Returns the streamed body of a request that was not sent.
    pub(crate) fn into_streamed(self) -> Option<StreamedBody> {
        match self.content {
            Content::Streamed(streamed) => Some(streamed),
            Content::Kept(_) => None,
        }
    }
}

impl std::fmt::Debug for RequestBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self.content {
            Content::Kept(_) => "Kept",
            Content::Streamed(_) => "Streamed",
        })
    }
}

/// A body that is not buffered as a whole: the bytes read so far and the unread rest.
pub(crate) struct StreamedBody {
    prefix: Option<Bytes>,
    rest: Incoming,
    idle_timeout: Duration,
    idle: Pin<Box<Sleep>>,
    fault: FaultCell,
}

/// A body that was read up to the buffer limit.
pub(crate) enum CollectedBody {
    /// The whole body.
    Complete(Bytes),
    /// The body is longer than the buffer limit.
    Partial(StreamedBody),
}

impl CollectedBody {
    /// Returns the part of the body that goes into the fingerprint: the bytes read so far or, if
    /// none were read, the stated length.
    pub(crate) fn fingerprint_input(&self) -> Cow<'_, [u8]> {
        match self {
            Self::Complete(bytes) => Cow::Borrowed(bytes),
            Self::Partial(StreamedBody { prefix: Some(bytes), .. }) => Cow::Borrowed(bytes),
            Self::Partial(streamed) => {
                let length = streamed.rest.size_hint().exact().map(u64::to_be_bytes);
                Cow::Owned(length.map(Vec::from).unwrap_or_default())
            }
        }
    }
}

/// Reads a body up to the buffer limit, or nothing of it if it is to be `streamed`.
pub(crate) async fn receive(
    body: Incoming,
    streamed: bool,
    idle_timeout: Duration,
    fault: &FaultCell,
) -> Result<CollectedBody, ClientFault> {
    match streamed {
        true => Ok(CollectedBody::Partial(StreamedBody::new(None, body, idle_timeout, fault))),
        false => collect(body, idle_timeout, fault).await,
    }
}

/// Reads a body up to the buffer limit.
async fn collect(
    mut body: Incoming,
    idle_timeout: Duration,
    fault: &FaultCell,
) -> Result<CollectedBody, ClientFault> {
    let mut buffer = BytesMut::new();
    loop {
        let frame = timeout(idle_timeout, body.frame()).await.map_err(|_| ClientFault::Stalled)?;
        match frame {
            None => return Ok(CollectedBody::Complete(buffer.freeze())),
            Some(Err(_)) => return Err(ClientFault::Disconnected),
            Some(Ok(frame)) => {
                buffer.extend_from_slice(&frame.into_data().unwrap_or_default());
            }
        }
        if buffer.len() > REPLAY_BUFFER_MAX_BYTES {
            let prefix = Some(buffer.freeze());
            let streamed = StreamedBody::new(prefix, body, idle_timeout, fault);
            return Ok(CollectedBody::Partial(streamed));
        }
    }
}

impl StreamedBody {
    fn new(
        prefix: Option<Bytes>,
        rest: Incoming,
        idle_timeout: Duration,
        fault: &FaultCell,
    ) -> Self {
        let idle = Box::pin(sleep(idle_timeout));
        let fault = Rc::clone(fault);
        Self { prefix, rest, idle_timeout, idle, fault }
    }

    fn poll_rest(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, ClientFault>>> {
        match Pin::new(&mut self.rest).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => {
                self.idle.as_mut().reset(tokio::time::Instant::now() + self.idle_timeout);
                Poll::Ready(Some(Ok(frame.into_data().unwrap_or_default())))
            }
            Poll::Ready(Some(Err(_))) => self.fail(ClientFault::Disconnected),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => match self.idle.as_mut().poll(context) {
                Poll::Ready(()) => self.fail(ClientFault::Stalled),
                Poll::Pending => Poll::Pending,
            },
        }
    }

    fn fail(&self, fault: ClientFault) -> Poll<Option<Result<Bytes, ClientFault>>> {
        self.fault.set(Some(fault));
        Poll::Ready(Some(Err(fault)))
    }
}

impl Content {
    fn poll_data(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes, ClientFault>>> {
        match self {
            Self::Kept(body) => Pin::new(body).poll_frame(context).map(|next| {
                next.map(|frame| match frame {
                    Ok(frame) => Ok(frame.into_data().unwrap_or_default()),
                    Err(never) => match never {},
                })
            }),
            Self::Streamed(streamed) => match streamed.prefix.take() {
                Some(bytes) => Poll::Ready(Some(Ok(bytes))),
                None => streamed.poll_rest(context),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Kept(body) => body.is_end_stream(),
            Self::Streamed(streamed) => streamed.prefix.is_none() && streamed.rest.is_end_stream(),
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = ClientFault;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ClientFault>>> {
        let this = self.get_mut();
        let next = ready!(this.content.poll_data(context));
        match &next {
            Some(Ok(bytes)) => {
                this.guard.on_data(bytes.len());
                // With a known length, hyper does not poll again after the last byte.
                if this.content.is_end_stream() {
                    this.guard.on_end();
                }
            }
            Some(Err(_)) => {}
            None => this.guard.on_end(),
        }
        Poll::Ready(next.map(|data| data.map(Frame::data)))
    }

    fn is_end_stream(&self) -> bool {
        self.content.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Kept(body) => body.size_hint(),
            Content::Streamed(streamed) => {
                let prefix = streamed.prefix.as_ref().map_or(0, Bytes::len) as u64;
                let rest = streamed.rest.size_hint();
                let mut hint = SizeHint::new();
                hint.set_lower(prefix + rest.lower());
                if let Some(upper) = rest.upper() {
                    hint.set_upper(prefix + upper);
                }
                hint
            }
        }
    }
}
