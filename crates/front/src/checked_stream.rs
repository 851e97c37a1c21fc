//! The byte stream of a client connection, with its request heads checked.

use std::cell::Cell;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use http::request::Parts;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Instant;

use crate::head_check::{HeadCheck, RejectedHead, Segment};

/// Size of one read from the socket.
const READ_BYTES: usize = 8 * 1024;

/// Limit on buffered bytes of pipelined requests; no more is read from the socket above it.
const PIPELINE_BUFFER_MAX_BYTES: usize = 64 * 1024;

/// Replaces a rejected head, so that the rejection is answered in order, after earlier requests.
const SUBSTITUTE_HEAD: &[u8] = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";

/// State shared by the stream and the service of a connection.
#[derive(Debug, Default)]
pub(crate) struct ConnectionState {
    /// Number of requests that the service has started.
    pub(crate) started: Cell<u64>,
    /// Number of requests whose response the service has returned.
    pub(crate) answered: Cell<u64>,
    /// The head that was rejected, if any.
    pub(crate) rejected: Cell<Option<RejectedHead>>,
    /// Whether the client has closed or reset the connection.
    pub(crate) closed_by_client: Cell<bool>,
    /// When the last bytes of a response were written.
    pub(crate) written_at: Cell<Option<Instant>>,
}

impl ConnectionState {
    fn on_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(_))) {
            self.written_at.set(Some(Instant::now()));
        }
    }
}

/// Handles requests that arrive while earlier requests on their connection are running.
pub(crate) trait PipelineHandler {
    /// Called with the head of a request without a body; `number` counts the requests from zero.
    fn on_pipelined(&self, number: u64, head: Parts);
}

/// A stream that passes on only requests with a valid head, one request at a time.
///
/// Pipelined requests are buffered here until the earlier ones are answered. The reader can thus
/// detect that the client closed the connection while a request is running.
pub(crate) struct CheckedStream<S, P> {
    inner: S,
    check: HeadCheck,
    /// Buffered bytes of consecutive requests, starting with number `first_request`.
    requests: VecDeque<BytesMut>,
    first_request: u64,
    state: Rc<ConnectionState>,
    pipeline: P,
}

impl<S, P: PipelineHandler> CheckedStream<S, P> {
    pub(crate) fn new(
        inner: S,
        head_max_bytes: usize,
        state: Rc<ConnectionState>,
        pipeline: P,
    ) -> Self {
        let check = HeadCheck::new(head_max_bytes);
        Self { inner, check, requests: VecDeque::new(), first_request: 0, state, pipeline }
    }

    /// Returns the socket; bytes that were read from it and not passed on are dropped.
    pub(crate) fn into_inner(self) -> S {
        self.inner
    }

    fn receive(&mut self, received: &[u8]) {
        let mut segments = Vec::new();
        let checked = self.check.accept(received, &mut segments);
        for segment in segments {
            match segment {
                Segment::Head { bytes, head } => {
                    let number = self.first_request + self.requests.len() as u64;
                    self.requests.push_back(bytes);
                    let pipelined = number > self.state.started.get()
                        || self.state.started.get() > self.state.answered.get();
                    if let (true, Some(head)) = (pipelined, head) {
                        self.pipeline.on_pipelined(number, *head);
                    }
                }
                Segment::Body(bytes) => {
                    if let Some(last) = self.requests.back_mut() {
                        last.extend_from_slice(&bytes);
                    }
                }
            }
        }
        if let Err(rejected) = checked {
            self.state.rejected.set(Some(rejected));
            self.requests.push_back(SUBSTITUTE_HEAD.into());
        }
    }

    /// Returns the buffered bytes of the request whose turn it is.
    fn readable(&mut self) -> Option<&mut BytesMut> {
        while self.requests.len() > 1 && self.requests.front().is_some_and(BytesMut::is_empty) {
            self.requests.pop_front();
            self.first_request += 1;
        }
        let is_current = self.first_request <= self.state.answered.get();
        self.requests.front_mut().filter(|bytes| is_current && !bytes.is_empty())
    }

    fn buffered_bytes(&self) -> usize {
        self.requests.iter().map(BytesMut::len).sum()
    }
}

impl<S: AsyncRead + Unpin, P: PipelineHandler + Unpin> AsyncRead for CheckedStream<S, P> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if let Some(bytes) = this.readable() {
                let length = bytes.len().min(out.remaining());
                out.put_slice(&bytes[..length]);
                bytes.advance(length);
                return Poll::Ready(Ok(()));
            }
            if this.buffered_bytes() > PIPELINE_BUFFER_MAX_BYTES {
                // Hyper reads again when it has written the response to the current request.
                return Poll::Pending;
            }
            let mut storage = [0; READ_BYTES];
            let mut received = ReadBuf::new(&mut storage);
            match Pin::new(&mut this.inner).poll_read(context, &mut received) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(())) if !received.filled().is_empty() => {
                    this.receive(received.filled());
                }
                ended => {
                    this.state.closed_by_client.set(true);
                    return ended;
                }
            }
        }
    }
}

impl<S: AsyncWrite + Unpin, P: Unpin> AsyncWrite for CheckedStream<S, P> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write(context, bytes);
        this.state.on_write(&written);
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        let written = Pin::new(&mut this.inner).poll_write_vectored(context, slices);
        this.state.on_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }
}
