//! Compares whole sessions with golden transcripts. `WAGTAILMOOR_BLESS=1` rewrites them.

mod support;

use std::path::{Path, PathBuf};

use rstest::rstest;
use support::runner::run_session;

fn session_path(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions").join(name)
}

// Guards against a change in any byte that a client or target receives, or in any gateway call.
#[rstest]
fn session_matches_its_transcript(#[files("tests/sessions/*.txt")] path: PathBuf) {
    let expected = std::fs::read_to_string(&path).unwrap();
    let transcript = run_session(&expected);
    match std::env::var_os("WAGTAILMOOR_BLESS") {
        Some(_) => std::fs::write(&path, transcript).unwrap(),
        None => assert_eq!(transcript, expected, "{}", path.display()),
    }
}

// Guards against a comparison that passes although a header, status or gateway call has changed.
#[rstest]
#[case::header("wagtailmoor-customer: acme", "wagtailmoor-customer: other")]
#[case::status("HTTP/1.1 200 OK", "HTTP/1.1 201 Created")]
#[case::call("event=spend", "event=kept")]
fn changed_transcript_does_not_match(#[case] from: &str, #[case] to: &str) {
    let expected = std::fs::read_to_string(session_path("answered_known_length.txt")).unwrap();
    let wrong = expected.replace(from, to);
    assert_ne!(wrong, expected, "the transcript contains no {from}");
    assert_ne!(run_session(&wrong), wrong);
}

// Guards against a transcript check that misses late bytes of one exchange in the next response.
// The target sends the late bytes as its second response, which is what the client would receive
// from a front end with that fault.
#[test]
fn late_bytes_forwarded_as_response_are_detected() {
    let expected = std::fs::read_to_string(session_path("late_bytes.txt")).unwrap();
    let (before, last) = expected.rsplit_once("t1 sends ").unwrap();
    let (_, rest) = last.split_once('\n').unwrap();
    let late = r"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate";
    let faulty = format!("{before}t1 sends {late}\n{rest}");
    let transcript = run_session(&faulty);
    assert_eq!(transcript.matches("\"late\"").count(), 1, "{transcript}");
    assert_ne!(transcript, faulty);
}

fn run_rejected_head(name: &str) -> String {
    let path = session_path("rejected_heads").join(name).with_extension("txt");
    run_session(&std::fs::read_to_string(path).unwrap())
}

// Guards against forwarding a request whose end cannot be determined, and against serving further
// requests on its connection.
#[rstest]
#[case::malformed_line("malformed_line", "400 Bad Request")]
#[case::oversized_head("oversized_head", "431 Request Header Fields Too Large")]
#[case::two_lengths("smuggling_two_lengths", "400 Bad Request")]
#[case::same_lengths("smuggling_same_lengths", "400 Bad Request")]
#[case::coding_first("smuggling_coding_first", "400 Bad Request")]
#[case::length_first("smuggling_length_first", "400 Bad Request")]
fn rejected_head_closes_the_connection(#[case] name: &str, #[case] status: &str) {
    let transcript = run_rejected_head(name);
    assert!(transcript.contains(&format!("    HTTP/1.1 {status}\n")), "{transcript}");
    assert!(transcript.contains("    connection: close\n"), "{transcript}");
    assert!(transcript.contains("    (closed)\n"), "{transcript}");
    assert!(!transcript.contains("event=assign"), "{transcript}");
}

// Guards against a refusal without the outcome and reason that docs/interfaces.md specifies.
#[rstest]
#[case::malformed_line("malformed_line", "bad-request")]
#[case::oversized_head("oversized_head", "head-too-large")]
#[case::two_lengths("smuggling_two_lengths", "bad-request")]
fn rejected_head_states_outcome_and_reason(#[case] name: &str, #[case] reason: &str) {
    let transcript = run_rejected_head(name);
    assert!(transcript.contains("    wagtailmoor-outcome: not-run\n"), "{transcript}");
    assert!(transcript.contains(&format!("    wagtailmoor-reason: {reason}\n")), "{transcript}");
    assert!(transcript.contains("event=refused"), "{transcript}");
}

// Guards against a number in the answer of one target that ends the task of the client's
// connection: the requests behind it, which other targets have answered, would get no answer.
#[rstest]
#[case::zero("0")]
#[case::negative("-1")]
#[case::fraction("0.5")]
#[case::exponent("1e400")]
#[case::more_digits_than_any_integer("99999999999999999999999999999999999999999")]
#[case::infinity("inf")]
#[case::no_number("NaN")]
#[case::empty("")]
fn stated_timeout_ends_no_other_request(#[case] timeout: &str) {
    let session = std::fs::read_to_string(session_path("keep_alive_out_of_range.txt")).unwrap();
    let stated = session.replace("timeout=9223372036854775807", &format!("timeout={timeout}"));
    assert_ne!(stated, session);
    assert_eq!(run_session(&stated), stated);
}
