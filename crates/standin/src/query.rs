//! Parsing of query strings.

/// Returns the decoded value of a parameter; `None` if it is absent.
pub(crate) fn parameter(query: Option<&str>, name: &str) -> Option<String> {
    query?.split('&').find_map(|pair| match pair.split_once('=') {
        Some((found, value)) if found == name => Some(decode(&value.replace('+', " "))),
        _ => None,
    })
}

/// Returns the value of a parameter as a number; `None` if it is absent or not a number.
pub(crate) fn number(query: Option<&str>, name: &str) -> Option<u64> {
    parameter(query, name)?.parse().ok()
}

/// Decodes percent-encoded text; invalid sequences stay as they are.
pub(crate) fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::with_capacity(bytes.len());
    let mut index = 0;
    while index < bytes.len() {
        let byte = match bytes[index] {
            b'%' => escaped(bytes, index),
            _ => None,
        };
        decoded.push(byte.unwrap_or(bytes[index]));
        index += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn escaped(bytes: &[u8], index: usize) -> Option<u8> {
    let digits = std::str::from_utf8(bytes.get(index + 1..index + 3)?).ok()?;
    u8::from_str_radix(digits, 16).ok()
}
