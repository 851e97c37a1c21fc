//! Views of router processes, queried from an HTTP server with a fixed response.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::thread;

use rstest::rstest;

const STATUS: &str = r#"{"node":"node-1","zone":"east","incarnation":7,"ready":true,
"config_version":12,"store_age_ms":40,
"leader":{"node":"node-2","generation":3,"authority_left_ms":null,"heard_age_ms":90},
"owners_version":55,
"ranges":[{"back_end":"feeds","first":0,"last":4095,"owner":"i-1","epoch":9},
{"back_end":"pumps","first":0,"last":65535,"owner":"i-2","epoch":4}],
"customers":[{"customer":"hotel-sur","rate_per_s":50,"burst":20,"answered":700,
"refused_by_limit":5,"not_answered":2}],
"targets":[{"target":"i-1","back_end":"feeds","zone":"east","state":"draining",
"in_service":false,"cold":false}]}"#;

/// Answers each connection with this body until the test process ends.
fn serve(body: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.unwrap();
            let mut head = [0; 4096];
            let length = stream.read(&mut head).unwrap();
            assert!(head[..length].starts_with(b"GET /status "));
            write!(
                stream,
                "HTTP/1.1 200 OK\r\ncontent-length: {}\r\nconnection: close\r\n\r\n{body}",
                body.len()
            )
            .unwrap();
        }
    });
    address
}

/// Returns an address on which no process listens.
fn closed_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

fn wagtailmoor(nodes: &[SocketAddr], arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_wagtailmoor"));
    for node in nodes {
        command.arg("--node").arg(node.to_string());
    }
    command.args(arguments).output().unwrap()
}

/// Guards against a view that omits a row or prints values in the wrong columns.
#[rstest]
#[case::nodes(&["router", "nodes"], "node-1  east  true   12       40        node-2  3           -")]
#[case::ranges(&["router", "ranges"], "pumps     0      65535  i-2    4")]
#[case::one_back_end(&["router", "ranges", "--back-end", "feeds"], "feeds     0      4095  i-1    9")]
#[case::customers(&["router", "customers"], "hotel-sur  50          20     1400      10                4")]
#[case::targets(&["router", "targets"], "i-1     feeds     east  draining  false       false")]
fn view_lists_reported_values(#[case] arguments: &[&str], #[case] line: &str) {
    let nodes = [serve(STATUS), serve(STATUS)];
    let output = wagtailmoor(&nodes, arguments);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.lines().any(|shown| shown == line), "{text}");
}

/// Guards against a view that fails, or omits a process, because that process does not respond.
#[test]
fn silent_process_is_listed_with_the_others() {
    let silent = closed_address();
    let output = wagtailmoor(&[serve(STATUS), silent], &["router", "nodes"]);
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert!(text.contains("node-1"), "{text}");
    assert!(text.contains(&format!("no answer from {silent}: ")), "{text}");
}

/// Guards against JSON output with other text around it, which programs cannot parse.
#[test]
fn json_view_is_one_document() {
    let output = wagtailmoor(&[serve(STATUS)], &["--format", "json", "router", "ranges"]);
    let document: serde_json::Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_eq!(document["rows"][0]["owner"], "i-1");
    assert_eq!(document["silent"], serde_json::json!([]));
}

/// Guards against exit code 0 or a missing cause when no process returns its status.
#[rstest]
#[case::no_address(&[], "name the metrics address of a router process with --node")]
#[case::no_process_answers(&[closed_address()], "no router process answered; 127.0.0.1:")]
#[case::invalid_status(&[serve("[]")], "the response is not a node status: ")]
fn view_without_an_answer_fails_with_its_cause(#[case] nodes: &[SocketAddr], #[case] cause: &str) {
    let output = wagtailmoor(nodes, &["router", "nodes"]);
    let text = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(text.contains(cause), "{text}");
}
