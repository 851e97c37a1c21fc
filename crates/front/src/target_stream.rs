//! The socket of a connection to a target.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::transfer::Transfer;

/// A socket that is reset when it is dropped, unless a whole request body remains to be delivered.
///
/// The reset discards unsent bytes of a cancelled request, which cannot arrive after a network
/// partition has healed. A body that its target answered before it had received all of it is
/// delivered by the kernel.
#[derive(Debug)]
pub(crate) struct TargetStream {
    stream: TcpStream,
    transfer: Rc<Transfer>,
}

impl TargetStream {
    /// Configures a new socket, which reports to `transfer`.
    pub(crate) fn new(stream: TcpStream, transfer: Rc<Transfer>) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self { stream, transfer })
    }
}

impl Drop for TargetStream {
    fn drop(&mut self) {
        if self.transfer.delivers_after_close() {
            // If this fails, the socket is reset, which the target can see.
            drop(SockRef::from(&self.stream).set_linger(None));
        }
        self.transfer.on_socket_closed();
    }
}

impl AsyncRead for TargetStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for TargetStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Hyper flushes the stream only when its own write buffer is empty.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.stream).poll_flush(context))?;
        self.transfer.on_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
