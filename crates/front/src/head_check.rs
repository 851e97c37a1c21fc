//! Checks the framing of requests before hyper parses them.

use bytes::{Buf, BytesMut};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Request};
use wagtailmoor_core::Reason;

/// Maximum number of header fields in a request head.
const FIELDS_MAX: usize = 100;

/// Maximum length of a chunk-size line, including chunk extensions.
const CHUNK_LINE_MAX_BYTES: usize = 256;

const AMBIGUOUS: &str = "content-length and transfer-encoding contradict each other";
const MALFORMED: &str = "the request head is malformed";
const TOO_LARGE: &str = "the request head exceeds its size limit";

/// Neither a valid chunk-size line nor a trailer field; makes hyper fail the body.
const INVALID_CHUNK: &[u8] = b"x\r\n";

/// The part of a request that the next bytes of a connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Position {
    /// A request head.
    Head,
    /// Remaining bytes of a body or chunk, and the part that follows them.
    Data(u64, NextPart),
    /// A chunk-size line.
    ChunkLine,
    /// The trailer fields of a chunked body.
    Trailers,
    /// No further bytes are accepted on this connection: a head was rejected, or the client ended the
    /// connection with its last request.
    Ended,
}

/// The part that follows the remaining bytes of a body or chunk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NextPart {
    Head,
    Chunk,
}

/// Splits the bytes of a client's connection into requests and checks each head.
///
/// Hyper silently resolves repeated and contradictory body lengths. A proxy in front of this system
/// may resolve them differently, and then one request could hide another (request smuggling). Such
/// heads are rejected before hyper parses them.
#[derive(Debug)]
pub(crate) struct HeadCheck {
    position: Position,
    buffer: BytesMut,
    head_max_bytes: usize,
    head_count: u64,
    /// Whether the request at the current position is the last one of its connection.
    is_last: bool,
}

/// A part of the byte stream that passed the check.
#[derive(Debug)]
pub(crate) enum Segment {
    /// A request head.
    Head {
        /// The head as received.
        bytes: BytesMut,
        /// The parsed head, or `None` if a body follows or hyper would not accept the head.
        head: Option<Box<Parts>>,
    },
    /// A part of the body of the preceding request.
    Body(BytesMut),
}

/// A head that was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RejectedHead {
    /// Zero-based number of the request on its connection.
    pub(crate) request: u64,
    /// Reason code for the client.
    pub(crate) reason: Reason,
    /// Human-readable explanation.
    pub(crate) detail: &'static str,
}

impl HeadCheck {
    pub(crate) fn new(head_max_bytes: usize) -> Self {
        Self {
            position: Position::Head,
            buffer: BytesMut::new(),
            head_max_bytes,
            head_count: 0,
            is_last: false,
        }
    }

    /// Checks received bytes and appends to `passed` the segments that hyper may parse.
    ///
    /// # Errors
    ///
    /// A head was rejected; no further bytes of the connection are accepted.
    pub(crate) fn accept(
        &mut self,
        input: &[u8],
        passed: &mut Vec<Segment>,
    ) -> Result<(), RejectedHead> {
        self.buffer.extend_from_slice(input);
        while self.read_part(passed)? {}
        Ok(())
    }

    /// Consumes one part of the buffered bytes; returns whether another part may follow.
    fn read_part(&mut self, passed: &mut Vec<Segment>) -> Result<bool, RejectedHead> {
        if self.buffer.is_empty() {
            return Ok(false);
        }
        match self.position {
            Position::Head if self.is_last => {
                self.position = Position::Ended;
                Ok(true)
            }
            Position::Head => self.read_head(passed),
            Position::Data(remaining, next) => {
                let taken = usize::try_from(remaining).unwrap_or(usize::MAX).min(self.buffer.len());
                passed.push(Segment::Body(self.buffer.split_to(taken)));
                self.position = match (remaining - taken as u64, next) {
                    (0, NextPart::Head) => Position::Head,
                    (0, NextPart::Chunk) => Position::ChunkLine,
                    (remaining, next) => Position::Data(remaining, next),
                };
                Ok(true)
            }
            Position::ChunkLine => self.read_chunk_line(passed),
            Position::Trailers => self.read_trailers(passed),
            Position::Ended => {
                self.buffer.clear();
                Ok(false)
            }
        }
    }

    fn read_head(&mut self, passed: &mut Vec<Segment>) -> Result<bool, RejectedHead> {
        // Empty lines before a request line are skipped, as RFC 9112 section 2.2 asks for.
        while self.buffer.starts_with(b"\r\n") {
            self.buffer.advance(2);
        }
        let mut fields = [httparse::EMPTY_HEADER; FIELDS_MAX];
        let mut request = httparse::Request::new(&mut fields);
        match request.parse(&self.buffer) {
            Ok(httparse::Status::Partial) if self.buffer.len() <= self.head_max_bytes => Ok(false),
            Ok(httparse::Status::Complete(length)) if length <= self.head_max_bytes => {
                let Some(position) = body_position(request.headers) else {
                    return Err(self.reject(Reason::BadRequest, AMBIGUOUS));
                };
                let head = (position == Position::Head).then(|| convert_head(&request)).flatten();
                self.is_last = ends_connection(request.headers);
                passed.push(Segment::Head { bytes: self.buffer.split_to(length), head });
                self.position = position;
                self.head_count += 1;
                Ok(true)
            }
            Ok(_) | Err(httparse::Error::TooManyHeaders) => {
                Err(self.reject(Reason::HeadTooLarge, TOO_LARGE))
            }
            Err(_) => Err(self.reject(Reason::BadRequest, MALFORMED)),
        }
    }

    fn read_chunk_line(&mut self, passed: &mut Vec<Segment>) -> Result<bool, RejectedHead> {
        match httparse::parse_chunk_size(&self.buffer) {
            Ok(httparse::Status::Complete((length, size))) if length <= CHUNK_LINE_MAX_BYTES => {
                passed.push(Segment::Body(self.buffer.split_to(length)));
                self.position = match size {
                    0 => Position::Trailers,
                    size => Position::Data(size.saturating_add(2), NextPart::Chunk),
                };
                Ok(true)
            }
            Ok(httparse::Status::Partial) if self.buffer.len() <= CHUNK_LINE_MAX_BYTES => Ok(false),
            _ => Ok(self.pass_invalid_chunk(passed)),
        }
    }

    fn read_trailers(&mut self, passed: &mut Vec<Segment>) -> Result<bool, RejectedHead> {
        let Some(end) = self.buffer.windows(2).position(|pair| pair == b"\r\n") else {
            return match self.buffer.len() <= self.head_max_bytes {
                true => Ok(false),
                false => Ok(self.pass_invalid_chunk(passed)),
            };
        };
        passed.push(Segment::Body(self.buffer.split_to(end + 2)));
        if end == 0 {
            self.position = Position::Head;
        }
        Ok(true)
    }

    /// Makes hyper fail the body of the request that it is already reading.
    fn pass_invalid_chunk(&mut self, passed: &mut Vec<Segment>) -> bool {
        // The bytes passed on do not depend on how the network split the input.
        passed.push(Segment::Body(INVALID_CHUNK.into()));
        self.buffer.clear();
        self.position = Position::Ended;
        false
    }

    fn reject(&mut self, reason: Reason, detail: &'static str) -> RejectedHead {
        self.position = Position::Ended;
        self.buffer.clear();
        RejectedHead { request: self.head_count, reason, detail }
    }
}

/// Converts a parsed head; returns `None` if the `http` types do not accept it.
fn convert_head(request: &httparse::Request<'_, '_>) -> Option<Box<Parts>> {
    let mut built = Request::builder().method(request.method?).uri(request.path?);
    for field in request.headers.iter() {
        let name = HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        built = built.header(name, HeaderValue::from_bytes(field.value).ok()?);
    }
    let (parts, ()) = built.body(()).ok()?.into_parts();
    Some(Box::new(parts))
}

/// Returns whether a head asks to close the connection after its response.
fn ends_connection(fields: &[httparse::Header<'_>]) -> bool {
    let mut values = fields.iter().filter(|field| field.name.eq_ignore_ascii_case("connection"));
    values.any(|field| {
        let mut options = field.value.split(|byte| *byte == b',');
        options.any(|option| option.trim_ascii().eq_ignore_ascii_case(b"close"))
    })
}

/// Returns the position after the head, or `None` if the body length is ambiguous or malformed.
fn body_position(fields: &[httparse::Header<'_>]) -> Option<Position> {
    let values = |name: &'static str| {
        fields.iter().filter(move |field| field.name.eq_ignore_ascii_case(name))
    };
    let mut lengths = values("content-length");
    let mut codings = values("transfer-encoding");
    match (lengths.next(), lengths.next(), codings.next(), codings.next()) {
        (None, None, None, None) => Some(Position::Head),
        (Some(length), None, None, None) => {
            let digits = std::str::from_utf8(length.value).ok()?.trim();
            let only_digits =
                !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
            match digits.parse().ok().filter(|_| only_digits)? {
                0 => Some(Position::Head),
                length => Some(Position::Data(length, NextPart::Head)),
            }
        }
        (None, None, Some(coding), None)
            if coding.value.trim_ascii().eq_ignore_ascii_case(b"chunked") =>
        {
            Some(Position::ChunkLine)
        }
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use proptest::prelude::*;
    use proptest::test_runner::RngSeed;
    use rstest::rstest;

    use super::*;

    const HEAD_MAX_BYTES: usize = 1024;

    fn feed(input: &[u8], step: usize) -> (Vec<u8>, Option<RejectedHead>) {
        let mut check = HeadCheck::new(HEAD_MAX_BYTES);
        let mut passed = Vec::new();
        let mut parts = input.chunks(step);
        let rejected = parts.find_map(|part| check.accept(part, &mut passed).err());
        let bytes = passed.into_iter().flat_map(|segment| match segment {
            Segment::Head { bytes, .. } | Segment::Body(bytes) => bytes.to_vec(),
        });
        (bytes.collect(), rejected)
    }

    // Guards against request smuggling by lengths that two parties read differently.
    #[rstest]
    #[case::same_lengths("content-length: 3\r\ncontent-length: 3\r\n")]
    #[case::length_first("content-length: 3\r\ntransfer-encoding: chunked\r\n")]
    #[case::coding_first("transfer-encoding: chunked\r\ncontent-length: 3\r\n")]
    #[case::list("content-length: 3, 3\r\n")]
    #[case::sign("content-length: +3\r\n")]
    #[case::odd_coding("transfer-encoding: gzip, chunked\r\n")]
    #[case::two_codings("transfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n")]
    fn rejects_ambiguous_lengths(#[case] fields: &str, #[values(1, 7, 4096)] step: usize) {
        let good = "GET /a HTTP/1.1\r\nhost: x\r\n\r\n";
        let input = format!("{good}POST /b HTTP/1.1\r\nhost: x\r\n{fields}\r\nabc");
        let (passed, rejected) = feed(input.as_bytes(), step);
        assert_eq!(passed, good.as_bytes());
        let expected = RejectedHead { request: 1, reason: Reason::BadRequest, detail: AMBIGUOUS };
        assert_eq!(rejected, Some(expected));
    }

    // Guards against parsing a body as a head, or a head as a body.
    #[rstest]
    #[case::length("POST /b HTTP/1.1\r\ncontent-length: 5\r\n\r\nGET /GET /c HTTP/1.1\r\n\r\n")]
    #[case::chunked(
        "POST /b HTTP/1.1\r\ntransfer-encoding: Chunked\r\n\r\n3;x=1\r\nabc\r\n0\r\nt: 1\r\n\r\nGET / HTTP/1.1\r\n\r\n"
    )]
    fn passes_proper_requests_unchanged(#[case] input: &str, #[values(1, 7, 4096)] step: usize) {
        assert_eq!(feed(input.as_bytes(), step), (input.as_bytes().to_vec(), None));
    }

    // Guards against running bytes behind a request that ends its connection: their response could
    // not be sent.
    #[rstest]
    #[case::only("Connection: close", true)]
    #[case::among_others("connection: te, Close", true)]
    #[case::other("connection: closed", false)]
    fn request_that_ends_the_connection_is_the_last(
        #[case] field: &str,
        #[case] is_last: bool,
        #[values(1, 7, 4096)] step: usize,
    ) {
        let first = format!("POST /a HTTP/1.1\r\n{field}\r\ncontent-length: 2\r\n\r\nab");
        let input = format!("{first}GET /b HTTP/1.1\r\n\r\n");
        let expected = if is_last { &first } else { &input };
        assert_eq!(feed(input.as_bytes(), step), (expected.as_bytes().to_vec(), None));
    }

    // Guards against unbounded memory use by a head that never ends.
    #[test]
    fn rejects_an_endless_head() {
        let input = format!("GET / HTTP/1.1\r\na: {}", "b".repeat(2 * HEAD_MAX_BYTES));
        let expected = RejectedHead { request: 0, reason: Reason::HeadTooLarge, detail: TOO_LARGE };
        assert_eq!(feed(input.as_bytes(), 100), (Vec::new(), Some(expected)));
    }

    // Guards against an invalid body whose forwarded bytes depend on the segment size.
    #[rstest]
    fn invalid_chunk_ends_the_body(#[values(1, 7, 4096)] step: usize) {
        let head = "GET / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n";
        let input = format!("{head}content-length: 2\r\n");
        let expected = [head.as_bytes(), INVALID_CHUNK].concat();
        assert_eq!(feed(input.as_bytes(), step), (expected, None));
    }

    proptest! {
        #![proptest_config(ProptestConfig {
            cases: 2_000,
            rng_seed: RngSeed::Fixed(1),
            failure_persistence: None,
            ..ProptestConfig::default()
        })]

        // Guards against a result that depends on how the network splits the bytes.
        #[test]
        fn result_does_not_depend_on_segments(
            parts in proptest::collection::vec(
                prop_oneof![
                    Just("GET / HTTP/1.1\r\n"), Just("\r\n"), Just("content-length: 2\r\n"),
                    Just("transfer-encoding: chunked\r\n"), Just("2\r\nab\r\n"), Just("0\r\n"),
                    Just("ab"), Just("x"), Just(": "),
                ],
                0..12,
            ),
            step in 1usize..40,
        ) {
            let input = parts.concat();
            prop_assert_eq!(feed(input.as_bytes(), step), feed(input.as_bytes(), 4096));
        }
    }
}
