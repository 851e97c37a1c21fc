//! Header fields that the front end reads, adds or removes.

use http::header::{
    AUTHORIZATION, CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TE,
    TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use wagtailmoor_core::{KeyDigest, ReportedDuration};

/// Outcome of a request: `answered`, `not-run` or `unknown`.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("wagtailmoor-outcome");
/// Reason code of a refusal.
pub(crate) const REASON: HeaderName = HeaderName::from_static("wagtailmoor-reason");
/// Timeout of the client in a request, remaining time in an attempt.
pub(crate) const DEADLINE_MS: HeaderName = HeaderName::from_static("wagtailmoor-deadline-ms");
/// Customer of a forwarded request.
pub(crate) const CUSTOMER: HeaderName = HeaderName::from_static("wagtailmoor-customer");
/// Id of an attempt, unique across hosts.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("wagtailmoor-request-id");
/// Back end of a forwarded request.
pub(crate) const BACK_END: HeaderName = HeaderName::from_static("wagtailmoor-back-end");
/// Slot of the key of a forwarded request.
pub(crate) const SLOT: HeaderName = HeaderName::from_static("wagtailmoor-slot");
/// Epoch under which the target owns the key according to the sender.
pub(crate) const EPOCH: HeaderName = HeaderName::from_static("wagtailmoor-epoch");
/// Delay that a target asks for before a retry, in milliseconds.
pub(crate) const RETRY_AFTER_MS: HeaderName = HeaderName::from_static("retry-after-ms");
/// State that a target reports with a response, such as `cold`.
pub(crate) const STATE: HeaderName = HeaderName::from_static("wagtailmoor-state");
/// Id that a client keeps when it repeats a request.
pub(crate) const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const PROXY_AUTHENTICATE: HeaderName = HeaderName::from_static("proxy-authenticate");
const PROXY_AUTHORIZATION: HeaderName = HeaderName::from_static("proxy-authorization");
const PREFIX: &str = "wagtailmoor-";

const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_CONNECTION,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];

/// Removes hop-by-hop fields, including those that `Connection` lists.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| *name != CONTENT_LENGTH && *name != HOST)
        .collect();
    named.iter().chain(&HOP_BY_HOP).for_each(|name| drop(headers.remove(name)));
}

/// Removes the customer key and all `wagtailmoor-*` fields, so that clients cannot forge them.
pub(crate) fn remove_private(headers: &mut HeaderMap) {
    headers.remove(AUTHORIZATION);
    let private: Vec<HeaderName> =
        headers.keys().filter(|name| name.as_str().starts_with(PREFIX)).cloned().collect();
    private.iter().for_each(|name| drop(headers.remove(name)));
}

/// The customer key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// No `Authorization` field.
    Absent,
    /// One well-formed bearer token.
    Digest(KeyDigest),
    /// Several `Authorization` fields, another scheme or an empty token.
    Malformed,
}

/// Returns the digest of the customer key. The key itself is not stored.
pub fn credential(headers: &HeaderMap) -> Credential {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    match (values.next(), values.next()) {
        (None, _) => Credential::Absent,
        (Some(value), None) => bearer(value.as_bytes())
            .map_or(Credential::Malformed, |token| Credential::Digest(KeyDigest::of(token))),
        (Some(_), Some(_)) => Credential::Malformed,
    }
}

fn bearer(value: &[u8]) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let (scheme, token) = value.split_at_checked(SCHEME.len())?;
    let token = token.trim_ascii();
    match scheme.eq_ignore_ascii_case(SCHEME) && !token.is_empty() {
        true => Some(token),
        false => None,
    }
}

/// Returns the idle timeout stated in a `Keep-Alive` field.
pub(crate) fn keep_alive_timeout(headers: &HeaderMap) -> Option<ReportedDuration> {
    let value = single_value(headers, &KEEP_ALIVE)?;
    let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok()
}

/// Encodes an id, which consists of visible ASCII characters.
pub(crate) fn text_value(text: &str) -> HeaderValue {
    HeaderValue::from_str(text).expect("ids are visible ASCII")
}

/// Returns the value of a field, or `None` if the field is absent, repeated or not ASCII.
pub fn single_value<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (Some(value), None) => value.to_str().ok(),
        _ => None,
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn headers(fields: &[(&str, &str)]) -> HeaderMap {
        fields
            .iter()
            .map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap()))
            .collect::<Vec<(HeaderName, http::HeaderValue)>>()
            .into_iter()
            .fold(HeaderMap::new(), |mut map, (name, value)| {
                map.append(name, value);
                map
            })
    }

    // Guards against forwarding the customer key or forged `wagtailmoor-*` fields to a target.
    #[test]
    fn removes_key_private_and_hop_by_hop_fields() {
        let mut map = headers(&[
            ("authorization", "Bearer secret"),
            ("wagtailmoor-customer", "forged"),
            ("connection", "close, x-hop, content-length"),
            ("x-hop", "1"),
            ("keep-alive", "timeout=5"),
            ("content-length", "3"),
            ("accept", "*/*"),
        ]);
        remove_private(&mut map);
        remove_hop_by_hop(&mut map);
        let mut left: Vec<&str> = map.keys().map(HeaderName::as_str).collect();
        left.sort_unstable();
        assert_eq!(left, ["accept", "content-length"]);
    }

    #[rstest]
    #[case::absent(&[], Credential::Absent)]
    #[case::good(&[("authorization", "bearer abc")], Credential::Digest(KeyDigest::of(b"abc")))]
    #[case::basic(&[("authorization", "Basic abc")], Credential::Malformed)]
    #[case::empty(&[("authorization", "Bearer  ")], Credential::Malformed)]
    #[case::twice(&[("authorization", "Bearer a"), ("authorization", "Bearer b")], Credential::Malformed)]
    fn finds_the_customer_key(#[case] fields: &[(&str, &str)], #[case] expected: Credential) {
        assert_eq!(credential(&headers(fields)), expected);
    }
}
