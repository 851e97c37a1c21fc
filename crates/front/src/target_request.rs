//! The request that is sent to targets.

use http::request::Parts;
use http::{HeaderMap, Method, Request, Uri, Version, header};

use crate::body::RequestBody;
use crate::dialect::{AttemptHead, Dialect};
use crate::gateway::Call;
use crate::headers;

/// The parts of a request that all attempts have in common.
#[derive(Clone, Debug)]
pub(crate) struct TargetRequest {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
}

impl TargetRequest {
    /// Removes the fields of a client request that must not be forwarded, and adds those for
    /// targets.
    pub(crate) fn new<D: Dialect>(dialect: &D, mut parts: Parts, call: &Call) -> Self {
        headers::remove_hop_by_hop(&mut parts.headers);
        parts.headers.remove(header::EXPECT);
        dialect.translate_request(&mut parts.headers, call);
        Self { method: parts.method, uri: origin_form(&parts.uri), headers: parts.headers }
    }

    /// Builds the request of one attempt.
    pub(crate) fn attempt<D: Dialect>(
        &self,
        dialect: &D,
        attempt: &AttemptHead<'_>,
        body: RequestBody,
    ) -> Request<RequestBody> {
        let mut request = Request::new(body);
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let mut fields = self.headers.clone();
        dialect.add_attempt(&mut fields, attempt);
        *request.headers_mut() = fields;
        request
    }
}

/// Returns path and query only; clients may send an absolute URI.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_else(|_| Uri::from_static("/"))
}
