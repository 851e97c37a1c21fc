//! Closes client connections without losing responses that are still in the send buffer.

use std::io;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

/// Time after the last byte was written for which a client may take to receive it and to close the
/// connection. Clients wait a few seconds for a response.
const LINGER_MAX: Duration = Duration::from_secs(5);

/// Size of one read of bytes that are discarded.
const DISCARD_BYTES: usize = 8 * 1024;

/// Whether the client knows from the last response that the connection is closed behind it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Announcement {
    /// The response had the field `connection: close`. Requests behind it count as not read.
    Announced,
    /// The client may have sent a request that it expects to be read.
    Unannounced,
}

/// Ends the sending direction and keeps the socket until the client closes it, for a limited time.
///
/// The kernel answers data that arrives at a closed socket with a reset, and discards the responses
/// that the client has not received yet. Clients that pipeline requests send such data, as do those
/// whose request was refused before its body was read.
///
/// Behind an announced close, what the client sends is read and discarded, since it may send the
/// rest of a body before it reads the response. Otherwise nothing is read: a request counts as read
/// when it was taken from the socket, and the client could not send it again.
pub(crate) async fn close(stream: TcpStream, announcement: Announcement, last_written_at: Instant) {
    // Fails if the client has closed the connection, which is noticed below as well.
    drop(SockRef::from(&stream).shutdown(Shutdown::Write));
    let closed = async {
        match announcement {
            Announcement::Announced => discard_received(&stream).await,
            Announcement::Unannounced => closed_by_client(&stream).await,
        }
    };
    drop(timeout_at(last_written_at + LINGER_MAX, closed).await);
}

async fn discard_received(stream: &TcpStream) {
    while stream.readable().await.is_ok() {
        // Not kept across the wait: it would be part of the memory of each open connection.
        let mut discarded = [0; DISCARD_BYTES];
        match stream.try_read(&mut discarded) {
            Ok(1..) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            _ => return,
        }
    }
}

async fn closed_by_client(stream: &TcpStream) {
    loop {
        match stream.ready(Interest::READABLE).await {
            Ok(ready) if !ready.is_read_closed() => {
                // Clears the readiness without reading, so that the next event is awaited.
                let unread = || Err::<(), _>(io::ErrorKind::WouldBlock.into());
                drop(stream.try_io(Interest::READABLE, unread));
            }
            _ => return,
        }
    }
}
