//! Reads raw HTTP messages from sockets.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Bodies above this size appear in the transcript by their length only.
const BODY_SHOWN_MAX_BYTES: usize = 256;

/// A socket and the bytes that were received but not yet consumed.
pub(crate) struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    pub(crate) async fn send(&mut self, bytes: &[u8]) {
        // The peer may close the connection before it has received all bytes.
        drop(self.stream.write_all(bytes).await);
    }

    /// Reads once; returns false when the connection was closed or reset.
    async fn receive(&mut self) -> bool {
        matches!(self.stream.read_buf(&mut self.buffer).await, Ok(1..))
    }

    /// Reads one message. If the connection closes first, returns the received part and `(closed)`.
    pub(crate) async fn read_message(&mut self, head_only: bool) -> Vec<String> {
        loop {
            if let Some(end) = message_end(&self.buffer, head_only) {
                return format_message(&self.buffer.drain(..end).collect::<Vec<u8>>());
            }
            if !self.receive().await {
                return self.show_remaining();
            }
        }
    }

    /// Reads `count` bytes.
    pub(crate) async fn read_bytes(&mut self, count: usize) -> Vec<String> {
        while self.buffer.len() < count {
            if !self.receive().await {
                return self.show_remaining();
            }
        }
        format_message(&self.buffer.drain(..count).collect::<Vec<u8>>())
    }

    /// Reads until the peer closes the connection.
    pub(crate) async fn read_to_end(&mut self) -> Vec<String> {
        while self.receive().await {}
        self.show_remaining()
    }

    /// Reads until the peer closes the connection, and shows only whether fewer than `count` bytes
    /// were received.
    pub(crate) async fn read_to_end_before(&mut self, count: usize) -> Vec<String> {
        while self.receive().await {}
        let received = std::mem::take(&mut self.buffer).len();
        vec![match received < count {
            true => format!("(closed before {count} bytes)"),
            false => format!("({count} bytes or more)"),
        }]
    }

    fn show_remaining(&mut self) -> Vec<String> {
        let mut lines = format_message(&std::mem::take(&mut self.buffer));
        lines.push("(closed)".to_owned());
        lines
    }
}

fn message_end(bytes: &[u8], head_only: bool) -> Option<usize> {
    let head = find(bytes, b"\r\n\r\n")? + 4;
    let text = String::from_utf8_lossy(&bytes[..head]).to_ascii_lowercase();
    let length = text.lines().find_map(|line| line.strip_prefix("content-length: "));
    let rest = &bytes[head..];
    match length {
        _ if head_only => Some(head),
        Some(length) => {
            let length: usize = length.parse().expect("a length is a number");
            (rest.len() >= length).then_some(head + length)
        }
        None if text.contains("transfer-encoding: chunked") => {
            find(rest, b"0\r\n\r\n").map(|at| head + at + 5)
        }
        None => Some(head),
    }
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|window| window == wanted)
}

fn format_message(bytes: &[u8]) -> Vec<String> {
    let head = find(bytes, b"\r\n\r\n").map_or(0, |at| at + 4);
    let text = String::from_utf8_lossy(&bytes[..head]).into_owned();
    let mut lines: Vec<String> = text.split_terminator("\r\n").map(mask_volatile).collect();
    let body = &bytes[head..];
    match body.len() {
        0 => {}
        1..=BODY_SHOWN_MAX_BYTES => lines.push(format!("{:?}", String::from_utf8_lossy(body))),
        length => lines.push(format!("({length} bytes)")),
    }
    lines
}

fn mask_volatile(line: &str) -> String {
    const VOLATILE: [&str; 3] = ["date", "wagtailmoor-request-id", "wagtailmoor-deadline-ms"];
    match line.split_once(": ") {
        Some((name, _)) if VOLATILE.contains(&name) => format!("{name}: *"),
        _ => line.to_owned(),
    }
}
