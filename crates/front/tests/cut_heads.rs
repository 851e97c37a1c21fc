//! Responses of targets that end within their head.

mod support;

use rstest::rstest;
use support::runner::run_session;

/// Responses whose bodies are delimited by a length, by chunks and by the end of the connection.
const RESPONSES: [&str; 3] = [
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 2\r\n\r\n",
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\ncontent-type: text/plain\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n",
];

const POST: &str = "client connect
client sends POST /a HTTP/1.1\\r\\nhost: shop\\r\\nauthorization: Bearer secret\\r\\nidempotency-key: k1\\r\\ncontent-length: 3\\r\\n\\r\\nabc
t1 accept
t1 reads
";

fn escape(text: &str) -> String {
    text.replace('\r', "\\r").replace('\n', "\\n")
}

/// Returns what the client receives if the target closes the connection after `sent`.
fn received_by_client(sent: &str) -> String {
    let sends = match sent.is_empty() {
        true => String::new(),
        false => format!("t1 sends {}\n", escape(sent)),
    };
    let transcript = run_session(&format!("{POST}{sends}t1 close\nclient reads\n"));
    let (_, received) = transcript.split_once("client reads\n").unwrap();
    received.to_owned()
}

// Guards against a head that ends early and is taken for a complete one: clients would get a 200
// with an empty or short body, framed as whole. Every prefix of each head is tried.
#[rstest]
fn a_response_cut_within_its_head_is_no_success(#[values(0, 1, 2)] number: usize) {
    let response = RESPONSES[number];
    for length in 0..response.len() {
        let received = received_by_client(&response[..length]);
        assert!(
            received.contains("HTTP/1.1 502 Bad Gateway")
                && received.contains("wagtailmoor-outcome: unknown"),
            "after {:?}: {received}",
            &response[..length]
        );
    }
}

// Guards against a test above that would pass for complete heads too.
#[test]
fn a_complete_head_is_a_success() {
    let received = received_by_client(&format!("{}ok", RESPONSES[0]));
    assert!(received.contains("HTTP/1.1 200 OK"), "{received}");
}
