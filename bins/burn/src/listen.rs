//! Receives metrics over UDP.

use std::future::pending;
use std::net::UdpSocket as StdUdpSocket;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use snafu::ResultExt;
use socket2::SockRef;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::sleep;
use wagtailmoor_burn::{MetricAggregator, UnixMillis};
use wagtailmoor_telemetry::Event;

use crate::arguments::ListenOptions;
use crate::failure::{Failure, FileSnafu, SocketSnafu};
use crate::recording::Recording;

/// Upper limit of the payload of a UDP datagram over IPv4.
const DATAGRAM_MAX_BYTES: usize = 65_535;

/// Buffers datagrams that arrive while another is written to the recording. The kernel drops
/// datagrams that do not fit.
const RECEIVE_BUFFER_BYTES: usize = 4 << 20;

/// Counts the received metrics, and appends them to the recording if one is given, until the
/// duration has passed or SIGINT or SIGTERM arrives.
pub(crate) async fn listen(
    options: &ListenOptions,
    aggregator: &mut MetricAggregator,
) -> Result<(), Failure> {
    let socket = bind(options)?;
    let mut recording = match &options.record {
        Some(path) => Some(Recording::open(path).context(FileSnafu { path })?),
        None => None,
    };
    let address = socket.local_addr().context(SocketSnafu)?;
    Event::new("listening").field("address", address).info();
    let end = wait_for_end(options.duration);
    tokio::pin!(end);
    let mut datagram = vec![0; DATAGRAM_MAX_BYTES];
    loop {
        let length = tokio::select! {
            biased;
            result = &mut end => return result,
            length = socket.recv(&mut datagram) => length.context(SocketSnafu)?,
        };
        let text = String::from_utf8_lossy(&datagram[..length]);
        let at = now();
        aggregator.add_datagram(at, &text);
        if let Some((recording, path)) = recording.as_mut().zip(options.record.as_ref()) {
            recording.append_datagram(at, &text).context(FileSnafu { path })?;
        }
    }
}

/// Returns the current wall-clock time.
pub(crate) fn now() -> UnixMillis {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    UnixMillis::new(u64::try_from(since.as_millis()).unwrap_or(u64::MAX))
}

fn bind(options: &ListenOptions) -> Result<UdpSocket, Failure> {
    let socket = StdUdpSocket::bind(options.listen).context(SocketSnafu)?;
    socket.set_nonblocking(true).context(SocketSnafu)?;
    SockRef::from(&socket).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).context(SocketSnafu)?;
    UdpSocket::from_std(socket).context(SocketSnafu)
}

/// Waits until the duration has passed or SIGINT or SIGTERM arrives.
async fn wait_for_end(duration: Option<Duration>) -> Result<(), Failure> {
    let mut interrupt = signal(SignalKind::interrupt()).context(SocketSnafu)?;
    let mut terminate = signal(SignalKind::terminate()).context(SocketSnafu)?;
    let timer = async {
        match duration {
            Some(duration) => sleep(duration).await,
            None => pending().await,
        }
    };
    tokio::select! {
        () = timer => {}
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
    Ok(())
}
