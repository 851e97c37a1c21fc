//! HTTP/1.1 messages on blocking sockets.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A client waits no longer than this for further bytes, so that every run ends.
const CLIENT_READ_TIMEOUT: Duration = Duration::from_secs(15);

/// A request or answer head: the three parts of its first line, and its fields.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: [String; 3],
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        self.line[1].parse().unwrap_or(0)
    }

    pub fn content_length(&self) -> usize {
        self.field("content-length").and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
    /// Largest number of bytes that are taken from the socket at a time.
    pub read_max: usize,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new(), read_max: 64 * 1024 }
    }

    /// Opens a client's connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(CLIENT_READ_TIMEOUT))?;
        Ok(Self::new(stream))
    }

    /// Reads more bytes into the buffer; fails at the end of the stream.
    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = vec![0; self.read_max];
        let length = self.stream.read(&mut bytes)?;
        if length == 0 {
            return Err(io::Error::new(ErrorKind::UnexpectedEof, "closed"));
        }
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(())
    }

    /// Reads a head; `None` if the peer closed the connection before its first byte.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            match self.buffer.windows(4).position(|four| four == b"\r\n\r\n") {
                Some(end) => break end,
                None if self.buffer.is_empty() => match self.fill() {
                    Ok(()) => {}
                    Err(error) if error.kind() == ErrorKind::UnexpectedEof => return Ok(None),
                    Err(error) => return Err(error),
                },
                None => self.fill()?,
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let mut parts = lines.next().unwrap_or_default().splitn(3, ' ').map(str::to_owned);
        let mut part = || parts.next().unwrap_or_default();
        let line = [part(), part(), part()];
        let fields = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { line, fields }))
    }

    /// Returns up to `max` bytes, at least one.
    pub fn read_some(&mut self, max: usize) -> io::Result<Vec<u8>> {
        if self.buffer.is_empty() {
            self.fill()?;
        }
        let length = self.buffer.len().min(max);
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn read_exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(length);
        while bytes.len() < length {
            bytes.extend(self.read_some(length - bytes.len())?);
        }
        Ok(bytes)
    }

    fn read_line(&mut self) -> io::Result<String> {
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.extend(self.read_some(1)?);
        }
        Ok(String::from_utf8_lossy(&line[..line.len() - 2]).into_owned())
    }

    /// Reads the next part of a chunked body; `None` after the last one.
    pub fn read_chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let size = self.read_line()?;
        let size = size.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16)
            .map_err(|_| io::Error::new(ErrorKind::InvalidData, "chunk size"))?;
        if size == 0 {
            while !self.read_line()?.is_empty() {}
            return Ok(None);
        }
        let bytes = self.read_exact(size)?;
        self.read_line()?;
        Ok(Some(bytes))
    }

    /// Reads the whole body of a message that states its length or is chunked.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.read_exact(head.content_length());
        }
        let mut body = Vec::new();
        while let Some(chunk) = self.read_chunk()? {
            body.extend(chunk);
        }
        Ok(body)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a body of known length.
    pub fn answer(&mut self, status: &str, fields: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{fields}\r\n", body.len());
        self.write(&[head.as_bytes(), body].concat())
    }
}
