//! The native dialect, which can run pipelined requests early.

use std::time::Duration;

use http::request::Parts;
use http::{HeaderMap, Response, StatusCode};
use wagtailmoor_dispatch::ResponseHead;
use wagtailmoor_front::{AttemptHead, Call, Dialect, NativeDialect, Refusal, RequestHead};

/// The native dialect; runs pipelined requests early if `EARLY` is set.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ScriptedDialect<const EARLY: bool>;

impl<const EARLY: bool> Dialect for ScriptedDialect<EARLY> {
    type Load = ();

    const RESPONSE_BUFFER_MAX_BYTES: usize = NativeDialect::RESPONSE_BUFFER_MAX_BYTES;

    const NEW_CONNECTION_DELAY: Duration = NativeDialect::NEW_CONNECTION_DELAY;

    const RUNS_PIPELINED_EARLY: bool = EARLY;

    fn request_head<'a>(&self, parts: &'a Parts) -> Result<RequestHead<'a>, Refusal> {
        NativeDialect.request_head(parts)
    }

    fn translate_request(&self, headers: &mut HeaderMap, call: &Call) {
        NativeDialect.translate_request(headers, call);
    }

    fn add_attempt(&self, headers: &mut HeaderMap, attempt: &AttemptHead<'_>) {
        NativeDialect.add_attempt(headers, attempt);
    }

    fn response_head(
        &self,
        call: &Call,
        status: StatusCode,
        headers: &HeaderMap,
        used: bool,
    ) -> Option<ResponseHead> {
        NativeDialect.response_head(call, status, headers, used)
    }

    fn load_report(&self, headers: &HeaderMap) -> Option<()> {
        NativeDialect.load_report(headers)
    }

    fn translate_response(&self, headers: &mut HeaderMap) {
        NativeDialect.translate_response(headers);
    }

    fn refusal(&self, refusal: &Refusal) -> Response<http_body_util::Full<bytes::Bytes>> {
        NativeDialect.refusal(refusal)
    }
}
